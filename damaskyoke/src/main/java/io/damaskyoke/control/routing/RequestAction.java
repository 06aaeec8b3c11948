package io.damaskyoke.control.routing;

import io.damaskyoke.exchange.Refusal;
import io.damaskyoke.id.VmId;
import java.time.Duration;

/** An action that {@link RequestMachine} tells the router to carry out for a request. */
public sealed interface RequestAction {
    /** Send the request to this agent. */
    record Send(VmId vm) implements RequestAction {}

    /** Claim the idempotency key for a run at this agent, or move the existing claim to it. */
    record ClaimKey(VmId vm) implements RequestAction {}

    /** Check for an earlier request with the same idempotency key, without claiming the key. */
    record LookUpKey() implements RequestAction {}

    /** Release the claim, since the request did not run and will not run. */
    record ReleaseClaim() implements RequestAction {}

    /** Return the answer that was recorded for the idempotency key. */
    record ReplayAnswer() implements RequestAction {}

    /** Exclude this agent from selection for this time. */
    record SuspendAgent(VmId vm, Duration time) implements RequestAction {}

    /** Cancel the request at the agent, since its answer is no longer needed. */
    record CancelAtAgent(VmId vm, String reason) implements RequestAction {}

    /** Forward the agent's answer to the caller. */
    record DeliverAnswer(VmId vm) implements RequestAction {}

    /** Answer the caller with this refusal; no other answer follows. */
    record Refuse(Refusal refusal) implements RequestAction {}
}
