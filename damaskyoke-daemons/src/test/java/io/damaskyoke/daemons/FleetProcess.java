package io.damaskyoke.daemons;

import com.fasterxml.jackson.databind.JsonNode;

/** A router or an agent that a test has started. */
interface FleetProcess {
    /** What it said of itself once it took work. */
    JsonNode ready();

    /** Ends it gracefully; returns when it is gone. */
    void stop();

    /** Starts a router or an agent from its settings. */
    @FunctionalInterface
    interface Launcher {
        FleetProcess launch(String role, String name, String toml);
    }
}
