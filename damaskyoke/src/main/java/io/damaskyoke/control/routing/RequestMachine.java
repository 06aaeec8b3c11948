package io.damaskyoke.control.routing;

import io.damaskyoke.control.StateMachine;
import io.damaskyoke.exchange.Refusal;
import io.damaskyoke.exchange.RefusalCode;
import io.damaskyoke.id.VmId;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/**
 * State machine that routes one request: it sends the request to an agent, retries at another one
 * where that is safe, and gives the caller exactly one answer.
 *
 * <p>A request that may have reached an upstream is retried only if it is idempotent. One that did
 * not run is retried while the retry budget and untried agents last. A refusal by a stopping agent
 * is retried without using the budget.
 *
 * <p>The idempotency key of a request is claimed before the request is sent. The claim names the
 * agent, so it is moved before the request is sent to another agent.
 */
public final class RequestMachine implements StateMachine<RequestInput, RequestAction> {
    private static final Duration SUSPENSION_TIME = Duration.ofSeconds(2);
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final boolean idempotent;
    private final boolean requiresClaim;
    private final AgentSelector selector;
    private final RetryBudget budget;
    private final Set<VmId> tried = new HashSet<>();
    private State state = State.NEW;
    private VmId selectedAgent;
    private boolean lookedUp;
    private boolean claimHeld;
    private boolean mayHaveRun;
    private Refusal lastRefusal;
    private Refusal pendingRefusal;

    /** Selects the agents to which a request is sent. */
    @FunctionalInterface
    public interface AgentSelector {
        /** Returns an agent that is not in {@code tried}, or empty if there is none. */
        Optional<VmId> select(Set<VmId> tried, Instant now);
    }

    private RequestMachine(
            boolean idempotent, boolean requiresClaim, AgentSelector selector, RetryBudget budget) {
        this.idempotent = idempotent;
        this.requiresClaim = requiresClaim;
        this.selector = selector;
        this.budget = budget;
    }

    /** Creates a machine for a request without an idempotency key. */
    public static RequestMachine of(
            boolean idempotent, AgentSelector selector, RetryBudget budget) {
        return new RequestMachine(
                idempotent,
                false,
                Objects.requireNonNull(selector, "selector"),
                Objects.requireNonNull(budget, "budget"));
    }

    /** Creates a machine for a non-idempotent request whose key must be claimed before sending. */
    public static RequestMachine withIdempotencyKey(AgentSelector selector, RetryBudget budget) {
        return new RequestMachine(
                false,
                true,
                Objects.requireNonNull(selector, "selector"),
                Objects.requireNonNull(budget, "budget"));
    }

    @Override
    public List<RequestAction> on(RequestInput input, Instant now) {
        return state.step(this, input, now);
    }

    /** Returns true once the caller got its answer, or the first part of it. */
    public boolean isAnswered() {
        return state == State.ANSWERED;
    }

    /** Returns the agent that was selected last, or empty if none was selected yet. */
    public Optional<VmId> currentAgent() {
        return Optional.ofNullable(selectedAgent);
    }

    private enum State {
        /** The request has not been processed yet. */
        NEW {
            @Override
            List<RequestAction> step(RequestMachine request, RequestInput input, Instant now) {
                if (input instanceof RequestInput.Admitted) {
                    request.budget.recordFirstAttempt();
                    return request.sendToNextAgent(now);
                }
                return request.abort(input);
            }
        },
        /** No agent is available to claim the key for, so the key is only looked up. */
        LOOKING_UP {
            @Override
            List<RequestAction> step(RequestMachine request, RequestInput input, Instant now) {
                if (input instanceof RequestInput.KeyNotFound) {
                    return request.sendToNextAgent(now);
                }
                if (input instanceof RequestInput.ClaimRefused refused) {
                    return request.reply(refused.refusal());
                }
                if (input instanceof RequestInput.RecordedAnswerFound) {
                    return request.replayAnswer();
                }
                return request.abort(input);
            }
        },
        /** The key is being claimed for an agent, or the claim is being moved to one. */
        CLAIMING {
            @Override
            List<RequestAction> step(RequestMachine request, RequestInput input, Instant now) {
                if (input instanceof RequestInput.KeyClaimed claimed) {
                    return request.isSelectedAgent(claimed.vm())
                            ? request.sendClaimed()
                            : List.of();
                }
                if (input instanceof RequestInput.ClaimRefused refused) {
                    return request.reply(refused.refusal());
                }
                if (input instanceof RequestInput.RecordedAnswerFound) {
                    return request.replayAnswer();
                }
                return request.abort(input);
            }
        },
        /** The request was sent to an agent, which has not answered yet. */
        SENT {
            @Override
            List<RequestAction> step(RequestMachine request, RequestInput input, Instant now) {
                if (input instanceof RequestInput.AnswerStarted served) {
                    return request.isSelectedAgent(served.vm())
                            ? request.deliverAnswer()
                            : List.of();
                }
                if (input instanceof RequestInput.AgentRefused refused) {
                    return request.isSelectedAgent(refused.vm())
                            ? request.handleAgentRefusal(refused.refusal(), now)
                            : List.of();
                }
                if (input instanceof RequestInput.NotSent notSent) {
                    return request.isSelectedAgent(notSent.vm())
                            ? request.retryAfterSendFailure(now)
                            : List.of();
                }
                if (input instanceof RequestInput.ConnectionLost lost) {
                    return request.isSelectedAgent(lost.vm())
                            ? request.handleConnectionLoss(now)
                            : List.of();
                }
                return request.abort(input);
            }
        },
        /** The request will be refused as not run once the release of its claim is confirmed. */
        RELEASING {
            @Override
            List<RequestAction> step(RequestMachine request, RequestInput input, Instant now) {
                if (input instanceof RequestInput.ClaimReleaseFinished released) {
                    return request.replyAfterRelease(released.confirmed());
                }
                return request.endsRequest(input) ? request.replyAfterRelease(false) : List.of();
            }
        },
        /** The caller got its answer; later inputs only release the claim. */
        ANSWERED {
            @Override
            List<RequestAction> step(RequestMachine request, RequestInput input, Instant now) {
                if (input instanceof RequestInput.KeyClaimed) {
                    return request.releaseLateClaim();
                }
                return request.confirmsNotRun(input) ? request.releaseClaim() : List.of();
            }
        };

        abstract List<RequestAction> step(RequestMachine request, RequestInput input, Instant now);
    }

    private boolean isSelectedAgent(VmId vm) {
        return vm.equals(selectedAgent);
    }

    private List<RequestAction> sendToNextAgent(Instant now) {
        Optional<VmId> next = selector.select(Set.copyOf(tried), now);
        if (next.isEmpty()) {
            return requiresClaim && !claimHeld && !lookedUp ? lookUpKey() : reply(noAgentRefusal());
        }
        selectedAgent = next.get();
        tried.add(selectedAgent);
        if (requiresClaim) {
            state = State.CLAIMING;
            return List.of(new RequestAction.ClaimKey(selectedAgent));
        }
        return send();
    }

    // The pool may be down because of the same payment that is repeated here. If it were refused
    // without a lookup, the caller would learn only once an agent is back that the payment was
    // made.
    private List<RequestAction> lookUpKey() {
        lookedUp = true;
        state = State.LOOKING_UP;
        return List.of(new RequestAction.LookUpKey());
    }

    private List<RequestAction> send() {
        state = State.SENT;
        return List.of(new RequestAction.Send(selectedAgent));
    }

    private List<RequestAction> sendClaimed() {
        claimHeld = true;
        return send();
    }

    private List<RequestAction> replayAnswer() {
        state = State.ANSWERED;
        return List.of(new RequestAction.ReplayAnswer());
    }

    // The claim was granted after the request had been answered, so the request was never sent. If
    // the claim stayed, every repeat with the key would be refused as "outcome unknown".
    private List<RequestAction> releaseLateClaim() {
        claimHeld = true;
        return releaseClaim();
    }

    private List<RequestAction> releaseClaim() {
        if (!claimHeld) {
            return List.of();
        }
        claimHeld = false;
        return List.of(new RequestAction.ReleaseClaim());
    }

    private boolean confirmsNotRun(RequestInput input) {
        if (input instanceof RequestInput.AgentRefused refused) {
            return isSelectedAgent(refused.vm()) && refused.refusal().notRun();
        }
        return input instanceof RequestInput.NotSent notSent && isSelectedAgent(notSent.vm());
    }

    private List<RequestAction> deliverAnswer() {
        state = State.ANSWERED;
        return List.of(new RequestAction.DeliverAnswer(selectedAgent));
    }

    private List<RequestAction> handleAgentRefusal(Refusal refusal, Instant now) {
        lastRefusal = refusal;
        if (!refusal.notRun()) {
            mayHaveRun = true;
        }
        if (refusal.notRun() && refusal.code() == RefusalCode.STOPPING) {
            return retryWithoutBudget(now);
        }
        boolean retryable = refusal.notRun() && isRetryableElsewhere(refusal.code());
        return retryable ? retry(now) : reply(refusal);
    }

    // A stopping agent sends nothing to its upstream, so this retry adds no load. If it were
    // charged to the budget, a planned stop would use the budget up, and requests would be refused
    // while other agents are idle. Suspending the agent keeps it from causing a free retry per
    // request.
    private List<RequestAction> retryWithoutBudget(Instant now) {
        return prepend(
                new RequestAction.SuspendAgent(selectedAgent, SUSPENSION_TIME),
                sendToNextAgent(now));
    }

    private List<RequestAction> retryAfterSendFailure(Instant now) {
        RequestAction suspend = new RequestAction.SuspendAgent(selectedAgent, SUSPENSION_TIME);
        return prepend(suspend, retry(now));
    }

    // The agent may have passed the request to its upstream before the connection broke. Sending a
    // payment again could charge a customer twice, so only an idempotent request is retried; any
    // other is answered as "outcome unknown".
    private List<RequestAction> handleConnectionLoss(Instant now) {
        mayHaveRun = true;
        RequestAction suspend = new RequestAction.SuspendAgent(selectedAgent, SUSPENSION_TIME);
        if (idempotent) {
            return prepend(suspend, retry(now));
        }
        return prepend(
                suspend,
                reply(
                        Refusal.mayHaveRun(
                                RefusalCode.OUTCOME_UNKNOWN,
                                "the connection to the upstream broke; the request may have run")));
    }

    private List<RequestAction> retry(Instant now) {
        if (!budget.takeRetry()) {
            return reply(noAgentRefusal());
        }
        return sendToNextAgent(now);
    }

    private Refusal noAgentRefusal() {
        if (lastRefusal != null) {
            return lastRefusal;
        }
        String message = "no upstream for this request can be reached";
        return Refusal.notRun(RefusalCode.NO_UPSTREAM, message).retryAfter(RETRY_AFTER);
    }

    private List<RequestAction> abort(RequestInput input) {
        if (input instanceof RequestInput.DeadlinePassed) {
            return cancelAndReply(RefusalCode.DEADLINE_EXCEEDED, "the deadline has passed");
        }
        if (input instanceof RequestInput.CallerKeyWithdrawn) {
            return cancelAndReply(RefusalCode.KEY_WITHDRAWN, "the caller key was withdrawn");
        }
        if (input instanceof RequestInput.CallerDisconnected) {
            return cancelAndReply(RefusalCode.REQUEST_TIMEOUT, "the caller disconnected");
        }
        return List.of();
    }

    // A claimed request keeps running when its caller disconnects: its answer is recorded for a
    // repeat with the same key. If it were cancelled, its outcome would stay unknown forever.
    private List<RequestAction> cancelAndReply(RefusalCode code, String message) {
        boolean sent = state == State.SENT;
        boolean keepsRunning = claimHeld && code != RefusalCode.KEY_WITHDRAWN;
        mayHaveRun |= sent;
        List<RequestAction> reply = reply(Refusal.notRun(code, message));
        if (!sent || keepsRunning) {
            return reply;
        }
        return prepend(new RequestAction.CancelAtAgent(selectedAgent, message), reply);
    }

    // "Not run" from the second agent is true of that agent only: the first one may have run the
    // request before its connection broke. The caller would then send a payment again, so the
    // answer takes all attempts into account.
    private List<RequestAction> reply(Refusal refusal) {
        boolean notRun = refusal.notRun() && !mayHaveRun && !earlierAttemptMayHaveRun(refusal);
        if (notRun && claimHeld) {
            return releaseClaimThenReply(refusal);
        }
        List<RequestAction> release = mayHaveRun ? List.of() : releaseClaim();
        return Stream.concat(release.stream(), finalReply(refusal, notRun).stream()).toList();
    }

    // While the agent's "not run" was in transit, a repeat at another router may have taken over
    // the claim and run. If told "not run", this caller would pay again under another key. The
    // claim is removed by compare-and-swap, so a confirmed removal proves that no repeat took it
    // over.
    private List<RequestAction> releaseClaimThenReply(Refusal refusal) {
        pendingRefusal = refusal;
        state = State.RELEASING;
        return releaseClaim();
    }

    private List<RequestAction> replyAfterRelease(boolean confirmed) {
        return finalReply(pendingRefusal, confirmed);
    }

    private boolean endsRequest(RequestInput input) {
        return input instanceof RequestInput.DeadlinePassed
                || input instanceof RequestInput.CallerKeyWithdrawn
                || input instanceof RequestInput.CallerDisconnected;
    }

    private List<RequestAction> finalReply(Refusal refusal, boolean notRun) {
        state = State.ANSWERED;
        Refusal corrected =
                new Refusal(refusal.code(), refusal.message(), notRun, refusal.retryAfter());
        return List.of(new RequestAction.Refuse(corrected));
    }

    // Before this router holds the claim, a request with the same key may have run through another
    // router. "Not run" would then be true of this attempt but false of the payment, and the caller
    // would pay again under another key.
    private boolean earlierAttemptMayHaveRun(Refusal refusal) {
        return requiresClaim && !claimHeld && refusal.code() != RefusalCode.KEY_REUSED;
    }

    private static boolean isRetryableElsewhere(RefusalCode code) {
        return switch (code) {
            case OVERLOADED, NO_UPSTREAM, LOAD_FAILED, DEADLINE_UNREACHABLE -> true;
            default -> false;
        };
    }

    private static List<RequestAction> prepend(RequestAction first, List<RequestAction> rest) {
        return Stream.concat(Stream.of(first), rest.stream()).toList();
    }
}
