package io.damaskyoke.control.routing;

import io.damaskyoke.exchange.Refusal;
import io.damaskyoke.id.VmId;
import java.time.Duration;

/** What a router is to do for a request. */
public sealed interface RequestAction {
    /** Send it to this agent. */
    record Send(VmId vm) implements RequestAction {}

    /** Claim its idempotency key for a run at this agent, or move the claim there. */
    record Claim(VmId vm) implements RequestAction {}

    /** See whether a request under its idempotency key came before, without claiming the key. */
    record LookUp() implements RequestAction {}

    /** Take the claim back: the request surely did not run and will not. */
    record Release() implements RequestAction {}

    /** Pass on the answer that was recorded for the key. */
    record Replay() implements RequestAction {}

    /** Leave this agent out for a while. */
    record Suspend(VmId vm, Duration time) implements RequestAction {}

    /** Tell the agent that nobody waits for the answer any more. */
    record Cancel(VmId vm, String reason) implements RequestAction {}

    /** Pass the agent's answer on. */
    record Deliver(VmId vm) implements RequestAction {}

    /** Refuse; this is the final answer. */
    record Reply(Refusal refusal) implements RequestAction {}
}
