package io.damaskyoke.settings;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlFactory;
import io.damaskyoke.http.Endpoint;
import io.damaskyoke.http.HttpException;
import io.damaskyoke.json.JsonTrees;
import io.damaskyoke.settings.SettingsException.Code;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * The values of one file by key, and the faults found so far.
 *
 * <p>A key with a fault holds its default, or a stand-in of its type, so that the checks between
 * keys can run; {@link #throwFaults} must come before any use of the values.
 */
final class Values {
    private static final int MIN_SECRET_BYTES = 16;

    private static final TomlFactory TOML =
            TomlFactory.builder().streamReadConstraints(JsonTrees.limits()).build();

    private final String file;
    private final Map<String, Object> values = new HashMap<>();
    private final Map<String, String> shown = new HashMap<>();
    private final List<Fault> faults = new ArrayList<>();

    private Values(String file) {
        this.file = file;
    }

    static Values read(String text, String file, List<Key> keys) {
        Values values = new Values(file);
        JsonNode root = parse(text, file);
        keys.forEach(key -> values.take(key, root.path(key.section()).path(key.shortName())));
        values.faults.addAll(UnknownKeys.find(root, keys, file));
        return values;
    }

    String text(String key) {
        return (String) values.get(key);
    }

    Duration duration(String key) {
        return (Duration) values.get(key);
    }

    int integer(String key) {
        return Math.toIntExact(wideInteger(key));
    }

    long wideInteger(String key) {
        return (Long) values.get(key);
    }

    /** Returns the number, or empty if the file has no such key. */
    OptionalLong optionalInteger(String key) {
        Long value = (Long) values.get(key);
        return value == null ? OptionalLong.empty() : OptionalLong.of(value);
    }

    double number(String key) {
        return (Double) values.get(key);
    }

    /** Returns the number, or empty if the file has no such key. */
    OptionalDouble optionalNumber(String key) {
        Double value = (Double) values.get(key);
        return value == null ? OptionalDouble.empty() : OptionalDouble.of(value);
    }

    URI url(String key) {
        return (URI) values.get(key);
    }

    @SuppressWarnings("unchecked")
    List<URI> urls(String key) {
        return (List<URI>) values.get(key);
    }

    /** A table's entries; empty if the file has no such table. */
    @SuppressWarnings("unchecked")
    Map<String, String> table(String key) {
        return (Map<String, String>) values.getOrDefault(key, Map.of());
    }

    /** Notes a fault of a key whose value is good alone but not beside the others. */
    void require(String key, boolean holds, String allowed) {
        boolean faultyAlready = faults.stream().anyMatch(fault -> fault.key().equals(key));
        if (!holds && !faultyAlready) {
            fault(key, shown.get(key), allowed);
        }
    }

    /** Checks that a text is an IP number and a port. */
    void endpoint(String key) {
        boolean good = true;
        try {
            Endpoint.parse(text(key));
        } catch (HttpException e) {
            good = false;
        }
        require(key, good, "an address and port such as \"10.0.0.7:8080\"");
    }

    /** Takes a secret from its key or from the file that KEY-file names, and checks its length. */
    void secret(String key) {
        String fileKey = key + "-file";
        boolean direct = shown.containsKey(key);
        boolean inFile = shown.containsKey(fileKey);
        if (direct == inFile) {
            String found = direct ? "it beside " + fileKey : "nothing";
            fault(key, found, "a text of 16 bytes or more here or in " + fileKey);
            return;
        }
        if (inFile && values.containsKey(fileKey)) {
            readSecret(key, fileKey);
        }
        String secret = text(key);
        if (secret != null && secret.getBytes(StandardCharsets.UTF_8).length < MIN_SECRET_BYTES) {
            fault(inFile ? fileKey : key, "a short secret", "a secret of 16 bytes or more");
        }
    }

    /** Ends the check: throws if there is any fault. */
    void throwFaults() {
        if (!faults.isEmpty()) {
            throw new SettingsException(Code.INVALID, faults);
        }
    }

    private static JsonNode parse(String text, String file) {
        try {
            return tree(text);
        } catch (JsonProcessingException e) {
            // The parser's own message may quote the file, and with it a secret.
            JsonLocation at = e.getLocation();
            String place =
                    at == null ? "-" : "line " + at.getLineNr() + ", column " + at.getColumnNr();
            Fault fault =
                    new Fault(
                            file,
                            place,
                            "a syntax error or a key that stands twice",
                            "TOML 1.0, texts in quotes");
            throw new SettingsException(Code.SYNTAX, List.of(fault));
        }
    }

    private static JsonNode tree(String text) throws JsonProcessingException {
        try (JsonParser parser = TOML.createParser(text)) {
            return JsonTrees.read(parser);
        } catch (JsonProcessingException e) {
            throw e;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void take(Key key, JsonNode node) {
        if (node.isMissingNode()) {
            if (key.required()) {
                fault(key.name(), "nothing", key.allowed());
            }
            putDefault(key);
            return;
        }
        shown.put(key.name(), key.show(node));
        Optional<Object> value = key.read(node);
        if (value.isPresent()) {
            values.put(key.name(), value.get());
            return;
        }
        fault(key.name(), key.show(node), key.allowed());
        putDefault(key);
    }

    private void putDefault(Key key) {
        if (key.fallback() != null) {
            values.put(key.name(), key.kind().parse(key.fallback()));
            shown.putIfAbsent(key.name(), "the default " + key.fallback());
        }
    }

    private void readSecret(String key, String fileKey) {
        try {
            Path path = Path.of(file).resolveSibling(text(fileKey));
            values.put(key, Files.readString(path).strip());
        } catch (IOException | InvalidPathException e) {
            String found = shown.get(fileKey) + " (" + e.getClass().getSimpleName() + ")";
            fault(fileKey, found, "the name of a readable file");
        }
    }

    private void fault(String key, String found, String allowed) {
        faults.add(new Fault(file, key, found, allowed));
    }
}
