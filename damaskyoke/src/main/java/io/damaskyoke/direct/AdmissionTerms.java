package io.damaskyoke.direct;

import io.damaskyoke.control.direct.AllowedRegions;
import io.damaskyoke.control.direct.WorkspaceSpec;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * The terms on which a request was admitted.
 *
 * @param workspace the workspace of the caller's key, if the route needs one
 * @param allowedRegions the regions where the request may be served
 * @param priority the request's priority; 0 goes first
 * @param arrivedAt when the first byte of the request came
 * @param admissionTime how long admission took since then
 * @param chargedTokens the tokens charged for the request
 * @param refundTokens refunds the charged tokens if the request does not run
 */
record AdmissionTerms(
        Optional<WorkspaceSpec> workspace,
        AllowedRegions allowedRegions,
        int priority,
        Instant arrivedAt,
        Duration admissionTime,
        long chargedTokens,
        Runnable refundTokens) {}
