package io.damaskyoke.standins;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;

/** The calls that an upstream received, oldest first; keeps the last few thousand. */
public final class CallLog {
    private static final int MAX_ENTRIES = 5000;
    private static final int MAX_BODY = 4096;

    private final InstantSource clock;

    /** One call; {@code ranToEnd} is false while it runs and for one that was cancelled. */
    public record Entry(
            String method,
            String path,
            Map<String, String> headers,
            String body,
            @JsonProperty("ran_to_end") boolean ranToEnd,
            String at) {
        Entry ended() {
            return new Entry(method, path, headers, body, true, at);
        }
    }

    /** Stands for a call in the log until it has run to its end. */
    static final class Mark {
        private Entry entry;

        private Mark(Entry entry) {
            this.entry = entry;
        }
    }

    private final ArrayDeque<Mark> marks = new ArrayDeque<>();

    CallLog(InstantSource clock) {
        this.clock = clock;
    }

    synchronized Mark add(Call call) {
        String body = new String(call.body(), StandardCharsets.UTF_8);
        String kept = body.length() > MAX_BODY ? body.substring(0, MAX_BODY) : body;
        String at = clock.instant().toString();
        Mark mark =
                new Mark(new Entry(call.method(), call.path(), call.headers(), kept, false, at));
        marks.add(mark);
        if (marks.size() > MAX_ENTRIES) {
            marks.removeFirst();
        }
        return mark;
    }

    synchronized void ended(Mark mark) {
        mark.entry = mark.entry.ended();
    }

    synchronized void clear() {
        marks.clear();
    }

    /** A copy of the log. */
    public synchronized List<Entry> entries() {
        return marks.stream().map(mark -> mark.entry).toList();
    }

    JsonNode toJson() {
        return Json.tree(entries());
    }
}
