package io.damaskyoke.daemons;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.damaskyoke.exchange.RefusalCode;
import io.damaskyoke.timeline.EventType;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class OperatorPagesTest {
    private static final Path PAGES = Path.of("../docs/operate");
    private static final List<Path> SOURCES =
            List.of(Path.of("../damaskyoke/src/main/java"), Path.of("../platform/src/main/java"));
    private static final Pattern METRIC =
            Pattern.compile("\\.\\s*(?:count|counter|gauge|histogram)\\(\\s*\"([a-z_0-9]+)\"");
    private static final Pattern DOCUMENTED =
            Pattern.compile("^\\| `([a-z_0-9]+)` \\|", Pattern.MULTILINE);

    @Test
    void everyMetricIsOnThePageAndNoOther() throws IOException {
        Set<String> inCode = new TreeSet<>();
        for (Path sources : SOURCES) {
            try (Stream<Path> files = Files.walk(sources)) {
                for (Path file : files.filter(OperatorPagesTest::mayCount).toList()) {
                    inCode.addAll(found(METRIC, Files.readString(file)));
                }
            }
        }
        Set<String> onPage = new TreeSet<>(found(DOCUMENTED, page("metrics.md")));
        assertEquals(inCode, onPage);
    }

    @Test
    void everyEventIsOnTheTimeLinePage() throws IOException {
        String page = page("timeline.md");
        for (EventType type : EventType.values()) {
            assertTrue(page.contains("`" + type.label() + "`"), type.label());
        }
    }

    @Test
    void everyPageIsReachedFromTheIndex() throws IOException {
        String index = page("README.md");
        try (Stream<Path> pages = Files.list(PAGES)) {
            for (Path file : pages.toList()) {
                String name = file.getFileName().toString();
                assertTrue(name.equals("README.md") || index.contains(name), name);
            }
        }
    }

    @Test
    void everyRefusalThatComesFromAFailureIsOnTheFailuresPage() throws IOException {
        String page = page("failures.md");
        for (RefusalCode code : RefusalCode.values()) {
            boolean failure = code.status() > 500;
            assertTrue(!failure || page.contains("`" + code.wireName()), code.wireName());
        }
    }

    // The documentation of the metrics' own package shows made-up names.
    private static boolean mayCount(Path file) {
        return file.toString().endsWith(".java") && !file.getParent().endsWith("metrics");
    }

    private static List<String> found(Pattern pattern, String text) {
        return pattern.matcher(text).results().map(OperatorPagesTest::name).toList();
    }

    private static String name(MatchResult match) {
        return match.group(1);
    }

    private static String page(String name) throws IOException {
        return Files.readString(PAGES.resolve(name));
    }
}
