package io.damaskyoke.settings;

/**
 * One fault of a settings file.
 *
 * @param file the name of the file
 * @param key the key with its section, such as {@code caller.port}, or the place in the file
 * @param found what stands there; never a secret
 * @param allowed what may stand there
 */
public record Fault(String file, String key, String found, String allowed) {

    /** Takes out control characters, so that a fault stays on one line. */
    public Fault {
        file = oneLine(file);
        key = oneLine(key);
        found = oneLine(found);
        allowed = oneLine(allowed);
    }

    /** The fault as printed: {@code router.toml: caller.port: found 70000; allowed: ...}. */
    public String line() {
        return file + ": " + key + ": found " + found + "; allowed: " + allowed;
    }

    @Override
    public String toString() {
        return line();
    }

    private static String oneLine(String text) {
        return text.replaceAll("[\\p{Cntrl}\\u2028\\u2029]", "?");
    }
}
