package io.damaskyoke.control.replicas;

import io.damaskyoke.id.ModelName;
import java.time.Instant;
import java.util.Optional;

/** One model or adapter that takes memory of the engine, or may. */
final class Replica {
    /** Where it stands. Memory counts in each of them. */
    enum Phase {
        /** A load was ordered. */
        LOADING,
        /** The engine confirmed the load, or reported it. */
        LOADED,
        /** An unload was ordered. */
        UNLOADING,
        /** An order was lost or cut off: the engine may hold it or not. */
        UNKNOWN
    }

    final ModelName name;
    Phase phase;

    /** When the phase began; an older report says nothing about it. */
    Instant since;

    /** Which weights; empty if the engine didn't say and we didn't order it. */
    Optional<String> version = Optional.empty();

    Optional<ModelName> base = Optional.empty();

    /** False for what an engine reported before the models were configured. */
    boolean baseKnown;

    long bytes;
    int uses;

    /** Reports in a row that no longer list it although it is loaded. */
    int missing;

    Replica(ModelName name, Phase phase, Instant since, long bytes) {
        this.name = name;
        this.phase = phase;
        this.since = since;
        this.bytes = bytes;
    }

    void enter(Phase next, Instant now) {
        phase = next;
        since = now;
        missing = 0;
    }
}
