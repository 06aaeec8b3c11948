package io.damaskyoke.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.damaskyoke.standins.KeyValueStore.Event;
import io.damaskyoke.standins.KeyValueStore.KeyRange;
import java.util.List;
import org.apache.pekko.NotUsed;
import org.apache.pekko.japi.Pair;
import org.apache.pekko.stream.BoundedSourceQueue;
import org.apache.pekko.stream.QueueOfferResult;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;

/** One open watch. It reads the history from where it stands, so a pause loses it no event. */
final class KeyValueWatch {
    private static final int QUEUED_MESSAGES = 256;

    private final KeyValueStore store;
    private final KeyValueGateway gateway;
    private final Connection connection;
    private final KeyRange range;
    private final boolean withPrevious;
    private final boolean skipPuts;
    private final boolean skipDeletions;
    private final BoundedSourceQueue<ByteString> queue;
    private final Source<ByteString, NotUsed> messages;
    private long next;
    private boolean ended;

    KeyValueWatch(
            JsonNode request,
            KeyValueStore store,
            KeyValueGateway gateway,
            Connection connection,
            StandInRuntime runtime) {
        this.store = store;
        this.gateway = gateway;
        this.connection = connection;
        range = KeyValueGateway.keyRange(request);
        withPrevious = KeyValueGateway.field(request, "prev_kv").asBoolean();
        String filters = KeyValueGateway.field(request, "filters").toString();
        skipPuts = filters.contains("NOPUT");
        skipDeletions = filters.contains("NODELETE");
        long start = KeyValueGateway.int64(request, "start_revision");
        next = start == 0 ? store.revision() + 1 : start;
        Pair<BoundedSourceQueue<ByteString>, Source<ByteString, NotUsed>> ends =
                Source.<ByteString>queue(QUEUED_MESSAGES).preMaterialize(runtime.system());
        queue = ends.first();
        messages = ends.second();
        ObjectNode created = gateway.header();
        created.put("created", true);
        send(created);
    }

    Source<ByteString, NotUsed> messages() {
        return messages;
    }

    /** Sends what has happened since the last time. */
    void pump() {
        if (ended) {
            return;
        }
        if (next < store.compactRevision()) {
            cancel();
            return;
        }
        List<Event> events = store.eventsSince(next, range);
        next = Math.max(next, store.revision() + 1);
        ObjectNode message = gateway.header();
        ArrayNode list = message.putArray("events");
        for (Event event : events) {
            if (!(event.deletion() ? skipDeletions : skipPuts)) {
                list.add(gateway.event(event, withPrevious));
            }
        }
        if (!list.isEmpty()) {
            send(message);
        }
    }

    /** Ends the messages; without this the socket of a caller that left would stay half closed. */
    void close() {
        if (!ended) {
            ended = true;
            queue.complete();
        }
    }

    private void cancel() {
        ObjectNode message = gateway.header();
        message.put("canceled", true);
        message.put("compact_revision", Long.toString(store.compactRevision()));
        send(message);
        connection.markWatching(false);
        close();
    }

    private void send(ObjectNode result) {
        ObjectNode message = Json.object();
        message.set("result", result);
        QueueOfferResult offered = queue.offer(ByteString.fromString(message + "\n"));
        if (!offered.isEnqueued()) {
            // A message left out would be an event that never happened for this watcher; a broken
            // connection makes it ask again from the revision that it knows.
            ended = true;
            connection.abort();
        }
    }
}
