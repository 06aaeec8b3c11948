package io.damaskyoke.caller;

import io.damaskyoke.control.configuration.CallerKey;
import io.damaskyoke.control.configuration.Configuration;
import io.damaskyoke.control.configuration.KeyHasher;
import io.damaskyoke.exchange.RefusalCode;

/** Checks the key of a request against the configuration in force now. */
final class KeyCheck {
    private static final String SCHEME = "bearer ";

    private final KeyHasher hasher;

    KeyCheck(KeyHasher hasher) {
        this.hasher = hasher;
    }

    /** The text of the key from {@code Authorization: Bearer KEY}. */
    String text(RequestHead head) {
        String value = head.header("Authorization").orElseThrow(KeyCheck::missing);
        if (!value.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
            throw missing();
        }
        String key = value.substring(SCHEME.length()).trim();
        if (key.isEmpty()) {
            throw missing();
        }
        return key;
    }

    /** The key as it is kept; refuses an unknown or a withdrawn one. */
    CallerKey granted(String text, Configuration configuration) {
        CallerKey key =
                configuration
                        .findKey(hasher.hash(text))
                        .orElseThrow(
                                () ->
                                        CallerException.of(
                                                RefusalCode.KEY_UNKNOWN,
                                                "the caller key is not known"));
        if (!key.granted()) {
            throw CallerException.of(
                    RefusalCode.KEY_WITHDRAWN, "the caller key has been withdrawn");
        }
        return key;
    }

    private static CallerException missing() {
        return CallerException.of(
                RefusalCode.KEY_MISSING, "send the caller key as Authorization: Bearer KEY");
    }
}
