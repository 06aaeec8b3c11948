package io.damaskyoke.control.configuration;

import java.util.Locale;

/** Builds the store keys of the entries of the configuration log. */
public final class LogKeys {
    static final String FOLDER = "/config/log/";

    private static final long MAX_SEQUENCE = 9_999_999_999_999_999L;

    private LogKeys() {}

    /**
     * Returns the store key of one entry. A write that must not be based on an outdated
     * configuration has the store check that the entry after the last applied one is absent.
     */
    public static String entry(String storePrefix, long sequence) {
        long capped = Math.min(sequence, MAX_SEQUENCE);
        return storePrefix + FOLDER + String.format(Locale.ROOT, "%016d", capped);
    }
}
