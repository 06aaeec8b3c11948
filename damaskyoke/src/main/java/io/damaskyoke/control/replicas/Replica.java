package io.damaskyoke.control.replicas;

import io.damaskyoke.id.ModelName;
import java.time.Instant;
import java.util.Optional;

/** A model or adapter that uses memory of the engine, or may use it. */
final class Replica {
    /** The state of a replica; its memory is counted in every phase. */
    enum Phase {
        /** A load was ordered. */
        LOADING,
        /** The engine confirmed or reported the load. */
        LOADED,
        /** An unload was ordered. */
        UNLOADING,
        /** An order failed or its answer was lost: the engine may hold the model or not. */
        UNKNOWN
    }

    final ModelName name;
    Phase phase;

    /** When the phase began; a report made before then says nothing about it. */
    Instant phaseSince;

    /**
     * The version of the weights; empty if the engine did not report it and the load was not
     * ordered here.
     */
    Optional<String> version = Optional.empty();

    Optional<ModelName> base = Optional.empty();

    /** False if an engine reported it before the models were configured. */
    boolean baseKnown;

    long bytes;
    int uses;

    /** Number of consecutive reports that did not list the replica although it is loaded. */
    int missingReports;

    Replica(ModelName name, Phase phase, Instant phaseSince, long bytes) {
        this.name = name;
        this.phase = phase;
        this.phaseSince = phaseSince;
        this.bytes = bytes;
    }

    void enter(Phase next, Instant now) {
        phase = next;
        phaseSince = now;
        missingReports = 0;
    }
}
