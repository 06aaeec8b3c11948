package io.damaskyoke.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.damaskyoke.standins.KeyValueStore.Event;
import io.damaskyoke.standins.KeyValueStore.KeyRange;
import io.damaskyoke.standins.KeyValueStore.KeyValue;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.Collections;
import java.util.List;

/**
 * Turns the JSON of the etcd v3 gateway into calls on the store and back.
 *
 * <p>As in the published gateway, int64 fields are decimal strings, keys and values are base64, and
 * fields that hold their default are left out.
 */
final class KeyValueGateway {
    private static final int MAX_VALUE_BYTES = 1 << 20;
    private static final int MAX_TXN_OPERATIONS = 128;

    private final KeyValueStore store;

    KeyValueGateway(KeyValueStore store) {
        this.store = store;
    }

    static boolean isWrite(JsonNode txn) {
        return hasWrite(field(txn, "success")) || hasWrite(field(txn, "failure"));
    }

    /** A field by its snake case name, or by the camel case one that the gateway takes as well. */
    static JsonNode field(JsonNode node, String name) {
        JsonNode value = node.path(name);
        if (!value.isMissingNode()) {
            return value;
        }
        StringBuilder camel = new StringBuilder();
        for (String part : name.split("_")) {
            boolean first = camel.isEmpty();
            camel.append(first ? part.substring(0, 1) : part.substring(0, 1).toUpperCase());
            camel.append(part.substring(1));
        }
        return node.path(camel.toString());
    }

    static long int64(JsonNode node, String name) {
        JsonNode value = field(node, name);
        if (value.isMissingNode() || value.isNull()) {
            return 0;
        }
        try {
            return Long.parseLong(value.asText());
        } catch (NumberFormatException e) {
            throw StandInException.badRequest("Field \"" + name + "\" is not an int64");
        }
    }

    static KeyRange keyRange(JsonNode node) {
        return new KeyRange(key(node), bytes(node, "range_end"));
    }

    ObjectNode header() {
        ObjectNode answer = Json.object();
        ObjectNode header = answer.putObject("header");
        header.put("cluster_id", "1");
        header.put("member_id", "1");
        header.put("revision", Long.toString(store.revision()));
        header.put("raft_term", "1");
        return answer;
    }

    ObjectNode range(JsonNode request) {
        List<KeyValue> found = new ArrayList<>(store.range(keyRange(request)));
        int count = found.size();
        if (field(request, "sort_order").asText().equals("DESCEND")) {
            Collections.reverse(found);
        }
        long limit = int64(request, "limit");
        boolean more = limit > 0 && count > limit;
        boolean keysOnly = field(request, "keys_only").asBoolean();
        ObjectNode answer = header();
        if (count > 0 && !field(request, "count_only").asBoolean()) {
            ArrayNode kvs = answer.putArray("kvs");
            for (KeyValue entry : more ? found.subList(0, (int) limit) : found) {
                kvs.add(entry(entry, !keysOnly));
            }
            putIf(answer, "more", more);
        }
        putNumber(answer, "count", count);
        return answer;
    }

    ObjectNode put(JsonNode request) {
        checkPut(request);
        return store.atomically(() -> applyPut(request));
    }

    ObjectNode deleteRange(JsonNode request) {
        keyRange(request);
        return store.atomically(() -> applyDelete(request));
    }

    ObjectNode txn(JsonNode request) {
        checkOperations(field(request, "success"));
        checkOperations(field(request, "failure"));
        boolean holds = true;
        for (JsonNode compare : field(request, "compare")) {
            holds &= holds(compare);
        }
        boolean succeeded = holds;
        JsonNode operations = field(request, succeeded ? "success" : "failure");
        ArrayNode responses = Json.array();
        store.atomically(
                () -> {
                    operations.forEach(operation -> responses.add(apply(operation)));
                    return null;
                });
        ObjectNode answer = header();
        putIf(answer, "succeeded", succeeded);
        if (!responses.isEmpty()) {
            answer.set("responses", responses);
        }
        return answer;
    }

    ObjectNode grant(JsonNode request) {
        long ttl = int64(request, "TTL");
        if (ttl <= 0) {
            throw StandInException.badRequest("A lease needs a TTL of at least one second");
        }
        long id = store.grant(int64(request, "ID"), Duration.ofSeconds(ttl));
        ObjectNode answer = header();
        putNumber(answer, "ID", id);
        putNumber(answer, "TTL", ttl);
        return answer;
    }

    ObjectNode revoke(JsonNode request) {
        store.revoke(int64(request, "ID"));
        return header();
    }

    /** One message of the keepalive stream; a lease that is gone has no TTL in the answer. */
    ObjectNode keepAlive(JsonNode request) {
        long id = int64(request, "ID");
        ObjectNode result = header();
        putNumber(result, "ID", id);
        putNumber(result, "TTL", store.keepAlive(id).toSeconds());
        return Json.object().set("result", result);
    }

    ObjectNode timeToLive(JsonNode request) {
        long id = int64(request, "ID");
        ObjectNode answer = header();
        putNumber(answer, "ID", id);
        if (!store.hasLease(id)) {
            putNumber(answer, "TTL", -1);
            return answer;
        }
        putNumber(answer, "TTL", store.remaining(id).toSeconds());
        putNumber(answer, "grantedTTL", store.grantedTtl(id).toSeconds());
        if (field(request, "keys").asBoolean()) {
            ArrayNode keys = answer.putArray("keys");
            store.keysOf(id).forEach(keys::add);
        }
        return answer;
    }

    ObjectNode event(Event event, boolean withPrevious) {
        ObjectNode node = Json.object();
        if (event.deletion()) {
            node.put("type", "DELETE");
        }
        node.set("kv", entry(event.entry(), true));
        if (withPrevious && event.previous() != null) {
            node.set("prev_kv", entry(event.previous(), true));
        }
        return node;
    }

    private ObjectNode apply(JsonNode operation) {
        ObjectNode response = Json.object();
        if (has(operation, "request_put")) {
            response.set("response_put", applyPut(field(operation, "request_put")));
        } else if (has(operation, "request_delete_range")) {
            response.set(
                    "response_delete_range", applyDelete(field(operation, "request_delete_range")));
        } else {
            response.set("response_range", range(field(operation, "request_range")));
        }
        return response;
    }

    private ObjectNode applyPut(JsonNode request) {
        KeyValue old = store.put(key(request), bytes(request, "value"), int64(request, "lease"));
        ObjectNode answer = headerOfWrite(true);
        if (old != null && field(request, "prev_kv").asBoolean()) {
            answer.set("prev_kv", entry(old, true));
        }
        return answer;
    }

    private ObjectNode applyDelete(JsonNode request) {
        List<KeyValue> gone = store.delete(keyRange(request));
        ObjectNode answer = headerOfWrite(!gone.isEmpty());
        putNumber(answer, "deleted", gone.size());
        if (!gone.isEmpty() && field(request, "prev_kv").asBoolean()) {
            ArrayNode previous = answer.putArray("prev_kvs");
            gone.forEach(old -> previous.add(entry(old, true)));
        }
        return answer;
    }

    /** The header of a write that is under way: it shows the revision that the write will have. */
    private ObjectNode headerOfWrite(boolean changed) {
        ObjectNode answer = header();
        if (changed) {
            ObjectNode header = (ObjectNode) answer.get("header");
            header.put("revision", Long.toString(store.revision() + 1));
        }
        return answer;
    }

    private void checkOperations(JsonNode operations) {
        if (operations.size() > MAX_TXN_OPERATIONS) {
            throw StandInException.badRequest("etcdserver: too many operations in txn request");
        }
        List<byte[]> puts = new ArrayList<>();
        List<KeyRange> deletes = new ArrayList<>();
        for (JsonNode operation : operations) {
            checkOperation(operation, puts, deletes);
        }
        for (int i = 0; i < puts.size(); i++) {
            byte[] key = puts.get(i);
            boolean twice = puts.subList(0, i).stream().anyMatch(k -> Arrays.equals(k, key));
            if (twice || deletes.stream().anyMatch(range -> range.contains(key))) {
                throw StandInException.badRequest("etcdserver: duplicate key given in txn request");
            }
        }
    }

    private void checkOperation(JsonNode operation, List<byte[]> puts, List<KeyRange> deletes) {
        if (has(operation, "request_put")) {
            JsonNode request = field(operation, "request_put");
            checkPut(request);
            puts.add(key(request));
        } else if (has(operation, "request_delete_range")) {
            deletes.add(keyRange(field(operation, "request_delete_range")));
        } else if (has(operation, "request_range")) {
            keyRange(field(operation, "request_range"));
        } else {
            throw StandInException.badRequest("Unknown operation in txn: " + operation);
        }
    }

    private void checkPut(JsonNode request) {
        key(request);
        if (bytes(request, "value").length > MAX_VALUE_BYTES) {
            throw StandInException.badRequest("etcdserver: request is too large");
        }
        long lease = int64(request, "lease");
        if (lease != KeyValueStore.NO_LEASE && !store.hasLease(lease)) {
            throw StandInException.notFound("etcdserver: requested lease not found");
        }
    }

    private boolean holds(JsonNode compare) {
        KeyValue entry = store.find(key(compare));
        int order;
        switch (field(compare, "target").asText("VERSION")) {
            case "VERSION", "0":
                order = compareTo(entry == null ? 0 : entry.version(), compare, "version");
                break;
            case "CREATE", "1":
                order = compareTo(entry == null ? 0 : entry.created(), compare, "create_revision");
                break;
            case "MOD", "2":
                order = compareTo(entry == null ? 0 : entry.modified(), compare, "mod_revision");
                break;
            case "VALUE", "3":
                if (entry == null) {
                    return false;
                }
                order = Arrays.compareUnsigned(entry.value(), bytes(compare, "value"));
                break;
            case "LEASE", "4":
                order = compareTo(entry == null ? 0 : entry.lease(), compare, "lease");
                break;
            default:
                throw StandInException.badRequest("Unknown target in compare: " + compare);
        }
        return matches(order, compare);
    }

    private static int compareTo(long held, JsonNode compare, String name) {
        return Long.compare(held, int64(compare, name));
    }

    private static boolean matches(int order, JsonNode compare) {
        switch (field(compare, "result").asText("EQUAL")) {
            case "EQUAL", "0":
                return order == 0;
            case "GREATER", "1":
                return order > 0;
            case "LESS", "2":
                return order < 0;
            case "NOT_EQUAL", "3":
                return order != 0;
            default:
                throw StandInException.badRequest("Unknown result in compare: " + compare);
        }
    }

    private static boolean hasWrite(JsonNode operations) {
        for (JsonNode operation : operations) {
            if (!has(operation, "request_range")) {
                return true;
            }
        }
        return false;
    }

    private static boolean has(JsonNode node, String name) {
        return field(node, name).isObject();
    }

    private static byte[] key(JsonNode node) {
        byte[] key = bytes(node, "key");
        if (key.length == 0) {
            throw StandInException.badRequest("etcdserver: key is not provided");
        }
        return key;
    }

    private static byte[] bytes(JsonNode node, String name) {
        try {
            return Base64.getDecoder().decode(field(node, name).asText(""));
        } catch (IllegalArgumentException e) {
            throw StandInException.badRequest("Field \"" + name + "\" is not base64");
        }
    }

    private static ObjectNode entry(KeyValue entry, boolean withValue) {
        ObjectNode node = Json.object();
        node.put("key", entry.key());
        putNumber(node, "create_revision", entry.created());
        putNumber(node, "mod_revision", entry.modified());
        putNumber(node, "version", entry.version());
        if (withValue && entry.value().length > 0) {
            node.put("value", entry.value());
        }
        putNumber(node, "lease", entry.lease());
        return node;
    }

    private static void putNumber(ObjectNode node, String name, long value) {
        if (value != 0) {
            node.put(name, Long.toString(value));
        }
    }

    private static void putIf(ObjectNode node, String name, boolean value) {
        if (value) {
            node.put(name, true);
        }
    }
}
