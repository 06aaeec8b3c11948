package io.damaskyoke.settings;

import java.net.URI;
import java.time.Duration;

/**
 * What an agent is told at its start.
 *
 * @param process who and where it is
 * @param platform how to reach what the platform gives
 * @param upstream the model engine or plain service beside it
 * @param operator where operators come in
 * @param peer how it talks to other processes
 * @param maxKeptBody bytes of a keyed request's answer that it remembers
 * @param stop how it ends
 */
public record AgentSettings(
        ProcessSettings process,
        PlatformSettings platform,
        Upstream upstream,
        OperatorSettings operator,
        PeerSettings peer,
        int maxKeptBody,
        StopSettings stop) {

    /** What kind of upstream it is. */
    public enum Kind {
        /** A model engine, which takes orders to load. */
        ENGINE,
        /** A plain service. */
        SERVICE
    }

    /** The upstream beside the agent. */
    public record Upstream(
            Kind kind,
            String pool,
            URI url,
            int maxRunning,
            int maxWaiting,
            Duration connectTimeout,
            Duration loadTimeout,
            int loadsAtOnce) {}
}
