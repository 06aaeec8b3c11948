package io.damaskyoke.daemons;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class ProofsPageTest {
    private static final Path ROOT = Path.of("..");
    private static final Pattern COMMAND = Pattern.compile("`T=([A-Za-z]+)");

    @Test
    void everyTestThatThePageNamesIsThere() throws IOException {
        Set<String> named = new TreeSet<>();
        Matcher found = COMMAND.matcher(Files.readString(ROOT.resolve("docs/PROOFS.md")));
        while (found.find()) {
            named.add(found.group(1));
        }
        named.remove("NAME");
        assertFalse(named.isEmpty());
        named.removeAll(testsOfTheTree());
        assertEquals(Set.of(), named);
    }

    private static Set<String> testsOfTheTree() throws IOException {
        try (Stream<Path> files = Files.walk(ROOT)) {
            return files.map(file -> file.getFileName().toString())
                    .filter(name -> name.endsWith("Test.java"))
                    .map(name -> name.replace(".java", ""))
                    .collect(Collectors.toSet());
        }
    }
}
