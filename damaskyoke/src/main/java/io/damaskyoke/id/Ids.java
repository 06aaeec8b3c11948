package io.damaskyoke.id;

import java.util.regex.Pattern;

/** The one check behind all ids: they end up in store keys, log lines and metrics names. */
final class Ids {
    private static final int MAX_LENGTH = 200;
    private static final Pattern ALLOWED = Pattern.compile("[A-Za-z0-9._:/-]+");

    private Ids() {}

    static void check(String what, String value) {
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException(what + " must not be empty");
        }
        if (value.length() > MAX_LENGTH || !ALLOWED.matcher(value).matches()) {
            throw new IllegalArgumentException(
                    what + " must be up to " + MAX_LENGTH + " characters of A-Z a-z 0-9 . _ : / -");
        }
    }
}
