package io.damaskyoke.metrics;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A registered name taken apart: {@code refused{code="rate_exceeded"}}.
 *
 * @param name with nothing in it that Prometheus doesn't allow
 * @param label the label with its escaped value, or empty
 */
record Series(String name, String label) {
    private static final Pattern LABELLED =
            Pattern.compile("([^{]*)\\{([^=]*)=\"(.*)\"\\}", Pattern.DOTALL);

    static Series parse(String registered) {
        Matcher matcher = LABELLED.matcher(registered);
        if (!matcher.matches()) {
            return new Series(clean(registered), "");
        }
        String label = clean(matcher.group(2)) + "=\"" + escape(matcher.group(3)) + "\"";
        return new Series(clean(matcher.group(1)), label);
    }

    String braces() {
        return label.isEmpty() ? "" : "{" + label + "}";
    }

    String braces(String further) {
        return "{" + (label.isEmpty() ? "" : label + ",") + further + "}";
    }

    private static String clean(String name) {
        return name.replaceAll("[^A-Za-z0-9_]", "_");
    }

    private static String escape(String value) {
        return value.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
    }
}
