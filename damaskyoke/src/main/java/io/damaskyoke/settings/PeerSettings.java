package io.damaskyoke.settings;

import java.time.Duration;

/** How a process talks to its peers. */
public record PeerSettings(
        String host,
        int port,
        int maxFrameBytes,
        int creditBytes,
        Duration heartbeat,
        Duration silence) {}
