package io.damaskyoke.control.routing;

import io.damaskyoke.exchange.Refusal;
import io.damaskyoke.id.VmId;

/** What can happen to a request at its router. */
public sealed interface RequestInput {
    /** It came in and was admitted. */
    record Start() implements RequestInput {}

    /** The agent's answer has begun. */
    record Served(VmId vm) implements RequestInput {}

    /** The agent refused it. */
    record Refused(VmId vm, Refusal refusal) implements RequestInput {}

    /** It surely did not leave this process. */
    record NotSent(VmId vm) implements RequestInput {}

    /** It left, and the way to the agent broke before any answer. */
    record Lost(VmId vm) implements RequestInput {}

    /** Its idempotency key is claimed for a run at this agent. */
    record Claimed(VmId vm) implements RequestInput {}

    /** Its key can't be claimed now, or a request under the same key came before. */
    record ClaimRefused(Refusal refusal) implements RequestInput {}

    /** A request under the same key ran before, and its answer is known. */
    record AnsweredBefore() implements RequestInput {}

    /** Its key was looked up, and nothing is known of it. */
    record KeyUnknown() implements RequestInput {}

    /** Its deadline has passed. */
    record DeadlinePassed() implements RequestInput {}

    /** The caller is gone. */
    record CallerGone() implements RequestInput {}

    /** The key that came with it was withdrawn. */
    record KeyWithdrawn() implements RequestInput {}

    /**
     * The claim that was to be given back is gone, if {@code confirmed}; else somebody else has it,
     * or nobody knows yet.
     */
    record Released(boolean confirmed) implements RequestInput {}
}
