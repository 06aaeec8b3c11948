package io.damaskyoke.control.crashes;

import java.time.Duration;

/**
 * A run that was in progress at an upstream when it crashed.
 *
 * @param request the request that ran
 * @param runTime time from sending the request to the crash
 */
public record CrashedRun(RequestIdentity request, Duration runTime) {}
