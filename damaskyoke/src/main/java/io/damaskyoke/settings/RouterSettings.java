package io.damaskyoke.settings;

import io.damaskyoke.control.claims.ClaimSettings;
import java.time.Duration;

/**
 * What a router is told at its start.
 *
 * @param process who and where it is
 * @param platform how to reach what the platform gives
 * @param caller where callers come in, and their limits
 * @param operator where operators come in
 * @param peer how it talks to other processes
 * @param control how it decides
 * @param claims how it claims idempotency keys
 * @param stop how it ends
 */
public record RouterSettings(
        ProcessSettings process,
        PlatformSettings platform,
        Caller caller,
        OperatorSettings operator,
        PeerSettings peer,
        Control control,
        ClaimSettings claims,
        StopSettings stop) {

    /** Where callers come in, and what they may do. */
    public record Caller(
            String host,
            int port,
            int maxBodyBytes,
            int maxHeaderBytes,
            Duration headerTimeout,
            int maxConnections,
            Duration defaultDeadline,
            Duration maxDeadline) {}

    /** How a router decides. */
    public record Control(
            int maxWaiting,
            Duration unconfirmedLimit,
            double retryBudget,
            Duration placementLease,
            long seed) {}
}
