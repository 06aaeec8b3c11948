package io.damaskyoke.settings;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Writes the operators' page from the table of keys, so that the two can't differ. */
final class SettingsPage {
    private static final String HEAD =
            """
            # Settings

            A router and an agent each read one TOML file at their start. The file is checked as a
            whole: when it has faults, each is printed as `FILE: KEY: found X; allowed: Y` and
            nothing starts. Try a file with `bin/damaskyoke check-settings --role router FILE`.
            Examples: `config/router.toml` and `config/agent.toml`.

            Durations are written `"500ms"`, `"20s"`, `"2m"` or `"1h"`; sizes as a number of bytes
            or as `"64KiB"`, `"1MiB"`.

            This page is generated: `bin/damaskyoke help settings > docs/operate/settings.md`.
            """;
    private static final String TABLE_HEAD =
            "| key | type | range | default | what it is |\n|---|---|---|---|---|\n";

    private SettingsPage() {}

    static String markdown() {
        Map<String, StringBuilder> sections = new LinkedHashMap<>();
        Keys.ROUTER.forEach(key -> addRow(sections, key));
        Keys.AGENT.stream()
                .filter(key -> !Keys.ROUTER.contains(key))
                .forEach(key -> addRow(sections, key));
        Keys.DIRECT.stream()
                .filter(key -> !Keys.ROUTER.contains(key))
                .forEach(key -> addRow(sections, key));
        StringBuilder page = new StringBuilder(HEAD);
        sections.forEach(
                (section, rows) ->
                        page.append("\n## [")
                                .append(section)
                                .append("] ")
                                .append(readers(section))
                                .append("\n\n")
                                .append(TABLE_HEAD)
                                .append(rows));
        return page.toString();
    }

    private static void addRow(Map<String, StringBuilder> sections, Key key) {
        sections.computeIfAbsent(key.section(), section -> new StringBuilder())
                .append("| ")
                .append(
                        String.join(
                                " | ",
                                "`" + key.shortName() + "`",
                                key.kind().label(),
                                range(key),
                                fallback(key),
                                key.doc()))
                .append(" |\n");
    }

    private static String range(Key key) {
        if (!key.choices().isEmpty()) {
            return "`\"" + String.join("\"`, `\"", key.choices()) + "\"`";
        }
        return key.min() == null ? "" : key.min() + " to " + key.max();
    }

    private static String fallback(Key key) {
        if (key.fallback() == null) {
            return key.required() ? "none, required" : "none";
        }
        String quote = key.kind().quoted() ? "\"" : "";
        return "`" + quote + key.fallback() + quote + "`";
    }

    private static String readers(String section) {
        boolean router = hasSection(Keys.ROUTER, section);
        boolean agent = hasSection(Keys.AGENT, section);
        if (!router && !agent) {
            return "(router that connects to upstreams itself; it also reads the VM, the zone and"
                    + " [peer])";
        }
        return router && agent ? "(router and agent)" : router ? "(router)" : "(agent)";
    }

    private static boolean hasSection(List<Key> keys, String section) {
        return keys.stream().anyMatch(key -> key.section().equals(section));
    }
}
