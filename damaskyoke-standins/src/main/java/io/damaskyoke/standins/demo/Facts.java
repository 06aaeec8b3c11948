package io.damaskyoke.standins.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

/** What the processes said of themselves when they were ready: their ready lines and ids. */
final class Facts {
    private static final String READY = ".ready";
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Path dir;
    private final Map<String, JsonNode> ready = new TreeMap<>();

    private Facts(Path dir) {
        this.dir = dir;
    }

    /** Reads every {@code NAME.ready} file of the folder. */
    static Facts read(Path dir) {
        Facts facts = new Facts(dir);
        try (Stream<Path> files = Files.list(dir)) {
            files.filter(file -> file.toString().endsWith(READY)).forEach(facts::add);
        } catch (IOException e) {
            throw new UncheckedIOException("can't list " + dir, e);
        }
        return facts;
    }

    /** The base URL of a stand-in. */
    String url(String name) {
        return ready.get(name).path("url").asText();
    }

    /** One text field of a process's ready line. */
    String field(String name, String field) {
        return ready.get(name).path(field).asText();
    }

    /** A port that a process listens on. */
    int port(String name, String field) {
        return ready.get(name).path(field).asInt();
    }

    /** The names of all processes that start with the prefix, in order. */
    List<String> names(String prefix) {
        return ready.keySet().stream().filter(name -> name.startsWith(prefix)).toList();
    }

    /** The process id under which a process runs. */
    long pid(String name) {
        try {
            return Long.parseLong(Files.readString(dir.resolve(name + ".pid")).strip());
        } catch (IOException e) {
            throw new UncheckedIOException("no process id of " + name, e);
        }
    }

    private void add(Path file) {
        String name = file.getFileName().toString().replace(READY, "");
        try {
            ready.put(name, JSON.readTree(Files.readString(file).lines().findFirst().orElse("{}")));
        } catch (IOException e) {
            throw new UncheckedIOException("can't read " + file, e);
        }
    }
}
