package io.damaskyoke.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.Locale;
import java.util.Objects;

/**
 * A way to fail, as set by {@code POST /fault}.
 *
 * @param mode what goes wrong
 * @param delay how late each answer comes in mode {@code slow}
 * @param count how many calls are hit before all is well again; 0 means until changed
 * @param factor how many times longer a load takes in mode {@code slow}; the weight store only
 */
public record Fault(Mode mode, Duration delay, int count, double factor) {
    /** All is well. */
    public static final Fault NONE = of(Mode.UP);

    /** What goes wrong. */
    public enum Mode {
        /** All is well. */
        UP,
        /** Each call is answered with 503 at once, and open watches are cut. */
        DOWN,
        /** No call is answered, and watches fall silent. */
        HANG,
        /** Each answer is late. */
        SLOW,
        /** A write is carried out, then its connection is aborted without an answer. */
        LOSE_ANSWERS,
        /** Any call is carried out, then its connection is aborted without an answer. */
        RUN_THEN_CUT,
        /** The connection is aborted before the call is carried out. */
        CUT_BEFORE_RUN;

        /** The name on the wire, such as {@code lose-answers}. */
        public String wireName() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }

        static Mode of(String wireName) {
            for (Mode mode : values()) {
                if (mode.wireName().equals(wireName)) {
                    return mode;
                }
            }
            throw StandInException.badRequest("Unknown fault mode \"" + wireName + "\"");
        }
    }

    public Fault {
        Objects.requireNonNull(mode, "mode");
        Objects.requireNonNull(delay, "delay");
        if (delay.isNegative() || count < 0 || !(factor > 0)) {
            throw StandInException.badRequest(
                    "A fault needs delay_ms and count of at least 0, and a factor above 0");
        }
    }

    public static Fault of(Mode mode) {
        return new Fault(mode, Duration.ZERO, 0, 1);
    }

    /** This fault for the next {@code calls} calls only. */
    public Fault times(int calls) {
        return new Fault(mode, delay, calls, factor);
    }

    public static Fault slow(Duration delay) {
        return new Fault(Mode.SLOW, delay, 0, 1);
    }

    static Fault fromJson(JsonNode node) {
        Mode mode = Mode.of(Json.text(node, "mode"));
        Duration delay = Duration.ofMillis(node.path("delay_ms").asLong(0));
        return new Fault(mode, delay, node.path("count").asInt(0), node.path("factor").asDouble(1));
    }

    ObjectNode toJson() {
        ObjectNode node = Json.object();
        node.put("mode", mode.wireName());
        node.put("delay_ms", delay.toMillis());
        node.put("count", count);
        node.put("factor", factor);
        return node;
    }
}
