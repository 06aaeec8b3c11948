package io.damaskyoke.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.damaskyoke.platform.KeyValueStore.Change;
import io.damaskyoke.platform.KeyValueStore.Condition;
import io.damaskyoke.platform.KeyValueStore.Entry;
import io.damaskyoke.platform.KeyValueStore.Listing;
import io.damaskyoke.platform.KeyValueStore.TxnResult;
import io.damaskyoke.platform.KeyValueStore.Write;
import io.damaskyoke.platform.PlatformException.Code;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import java.util.Optional;

/**
 * The bodies of the etcd v3 JSON gateway: keys and values in base64, 64-bit numbers as strings,
 * fields with their zero value left out.
 */
final class EtcdJson {
    private static final ObjectMapper JSON = JsonMapper.builder().build();
    private static final int BYTE_MASK = 0xff;

    private EtcdJson() {}

    static ObjectNode object() {
        return JsonNodeFactory.instance.objectNode();
    }

    static byte[] bytes(JsonNode node) {
        try {
            return JSON.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a tree of plain values can always be written", e);
        }
    }

    static JsonNode parse(byte[] json) {
        try {
            JsonNode node = JSON.readTree(json);
            if (node != null && node.isObject()) {
                return node;
            }
        } catch (IOException e) {
            throw new PlatformException(Code.BAD_ANSWER, "the store's answer is not JSON", e);
        }
        throw new PlatformException(Code.BAD_ANSWER, "the store's answer is not a JSON object");
    }

    static ObjectNode range(String key) {
        return object().put("key", encode(key));
    }

    static ObjectNode range(String from, String to, int limit) {
        return range(from).put("range_end", encode(to)).put("limit", limit);
    }

    static ObjectNode prefix(String prefix) {
        return range(prefix).put("range_end", encode(rangeEnd(prefix)));
    }

    static ObjectNode watch(String prefix, long fromRevision) {
        ObjectNode create = prefix(prefix).put("start_revision", Long.toString(fromRevision));
        return object().set("create_request", create);
    }

    /** If the conditions fail, the same transaction reads what stands under their keys. */
    static ObjectNode txn(List<Condition> conditions, List<Write> writes) {
        ObjectNode txn = object();
        ArrayNode compare = txn.putArray("compare");
        ArrayNode failure = txn.putArray("failure");
        for (Condition condition : conditions) {
            compare.add(compare(condition));
            failure.addObject().set("request_range", range(key(condition)));
        }
        ArrayNode success = txn.putArray("success");
        writes.forEach(write -> success.add(write(write)));
        return txn;
    }

    static Listing listing(JsonNode answer) {
        return new Listing(entries(answer.path("kvs")), revision(answer));
    }

    static TxnResult txnResult(JsonNode answer) {
        boolean committed = answer.path("succeeded").asBoolean(false);
        List<Entry> found = new ArrayList<>();
        if (!committed) {
            for (JsonNode response : answer.path("responses")) {
                found.addAll(entries(response.path("response_range").path("kvs")));
            }
        }
        return new TxnResult(committed, revision(answer), found);
    }

    static List<Change> changes(JsonNode result) {
        List<Change> changes = new ArrayList<>();
        for (JsonNode event : result.path("events")) {
            Entry entry = entry(event.path("kv"));
            boolean removed = event.path("type").asText("PUT").equals("DELETE");
            Optional<Entry> now = removed ? Optional.empty() : Optional.of(entry);
            changes.add(new Change(entry.key(), entry.modRevision(), now));
        }
        return changes;
    }

    static long revision(JsonNode answer) {
        long revision = answer.path("header").path("revision").asLong(0);
        if (revision <= 0) {
            throw new PlatformException(Code.BAD_ANSWER, "the store's answer has no revision");
        }
        return revision;
    }

    private static ObjectNode compare(Condition condition) {
        ObjectNode compare = object().put("key", encode(key(condition)));
        if (condition instanceof Condition.Unchanged unchanged) {
            return compare.put("target", "MOD")
                    .put("result", "EQUAL")
                    .put("mod_revision", Long.toString(unchanged.modRevision()));
        }
        return compare.put("target", "CREATE")
                .put("result", condition instanceof Condition.Absent ? "EQUAL" : "GREATER")
                .put("create_revision", "0");
    }

    private static ObjectNode write(Write write) {
        ObjectNode node = object();
        if (write instanceof Write.Put put) {
            ObjectNode request = node.putObject("request_put").put("key", encode(put.key()));
            request.put("value", Base64.getEncoder().encodeToString(put.value()));
            request.put("lease", Long.toString(put.lease()));
        } else if (write instanceof Write.Delete delete) {
            node.putObject("request_delete_range").put("key", encode(delete.key()));
        }
        return node;
    }

    private static String key(Condition condition) {
        if (condition instanceof Condition.Absent absent) {
            return absent.key();
        }
        if (condition instanceof Condition.Unchanged unchanged) {
            return unchanged.key();
        }
        return ((Condition.Present) condition).key();
    }

    private static List<Entry> entries(JsonNode kvs) {
        List<Entry> entries = new ArrayList<>();
        kvs.forEach(kv -> entries.add(entry(kv)));
        return entries;
    }

    private static Entry entry(JsonNode kv) {
        try {
            Base64.Decoder decoder = Base64.getDecoder();
            return new Entry(
                    new String(decoder.decode(kv.path("key").asText()), StandardCharsets.UTF_8),
                    decoder.decode(kv.path("value").asText("")),
                    kv.path("mod_revision").asLong(0),
                    kv.path("version").asLong(0),
                    kv.path("lease").asLong(0));
        } catch (IllegalArgumentException e) {
            throw new PlatformException(Code.BAD_ANSWER, "a key or value is not base64", e);
        }
    }

    private static String encode(String key) {
        return encode(key.getBytes(StandardCharsets.UTF_8));
    }

    private static String encode(byte[] key) {
        return Base64.getEncoder().encodeToString(key);
    }

    /** The first key after all with this prefix: its last byte, plus one. UTF-8 has no byte 255. */
    private static byte[] rangeEnd(String prefix) {
        byte[] bytes = prefix.getBytes(StandardCharsets.UTF_8);
        byte[] end = Arrays.copyOf(bytes, bytes.length);
        end[end.length - 1] = (byte) ((end[end.length - 1] & BYTE_MASK) + 1);
        return end;
    }
}
