package io.damaskyoke.id;

import java.util.regex.Pattern;

/** The one check behind all ids: they end up in store keys, log lines and metrics names. */
final class Ids {
    private static final int MAX_LENGTH = 200;
    private static final String PLAIN = "A-Za-z0-9._:/-";
    private static final Pattern ALLOWED = Pattern.compile("[" + PLAIN + "]+");
    private static final Pattern ALLOWED_IF_ESCAPED = Pattern.compile("[%" + PLAIN + "]+");

    private Ids() {}

    /** Returns whether an id may have the character without an escape. */
    static boolean isPlain(int codePoint) {
        return codePoint < 128 && ALLOWED.matcher(Character.toString(codePoint)).matches();
    }

    static void check(String what, String value) {
        check(what, value, ALLOWED);
    }

    /** The same for an id that may be an {@link EscapedName}. */
    static void checkEscaped(String what, String value) {
        check(what, value, ALLOWED_IF_ESCAPED);
    }

    private static void check(String what, String value, Pattern allowed) {
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException(what + " must not be empty");
        }
        if (value.length() > MAX_LENGTH || !allowed.matcher(value).matches()) {
            throw new IllegalArgumentException(
                    what + " must be up to " + MAX_LENGTH + " characters of A-Z a-z 0-9 . _ : / -");
        }
    }
}
