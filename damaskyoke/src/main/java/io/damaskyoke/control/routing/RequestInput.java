package io.damaskyoke.control.routing;

import io.damaskyoke.exchange.Refusal;
import io.damaskyoke.id.VmId;

/** An event of a request at its router, the input of {@link RequestMachine}. */
public sealed interface RequestInput {
    /** The request arrived and was admitted. */
    record Admitted() implements RequestInput {}

    /** The agent started to answer. */
    record AnswerStarted(VmId vm) implements RequestInput {}

    /** The agent refused the request. */
    record AgentRefused(VmId vm, Refusal refusal) implements RequestInput {}

    /** The request was not sent; no byte of it left this process. */
    record NotSent(VmId vm) implements RequestInput {}

    /** The connection to the agent broke after the request was sent and before any answer. */
    record ConnectionLost(VmId vm) implements RequestInput {}

    /** The idempotency key was claimed for a run at this agent. */
    record KeyClaimed(VmId vm) implements RequestInput {}

    /** The key could not be claimed, or an earlier request has the same key. */
    record ClaimRefused(Refusal refusal) implements RequestInput {}

    /** An earlier request with the same key ran, and its answer is recorded. */
    record RecordedAnswerFound() implements RequestInput {}

    /** The key was looked up and no earlier request was found. */
    record KeyNotFound() implements RequestInput {}

    /** The deadline of the request passed. */
    record DeadlinePassed() implements RequestInput {}

    /** The caller disconnected. */
    record CallerDisconnected() implements RequestInput {}

    /** The caller key that authenticated the request was withdrawn. */
    record CallerKeyWithdrawn() implements RequestInput {}

    /**
     * The release of the claim finished or timed out.
     *
     * @param confirmed true if the claim is known to be removed; false if another request has it,
     *     or the result is not known yet
     */
    record ClaimReleaseFinished(boolean confirmed) implements RequestInput {}
}
