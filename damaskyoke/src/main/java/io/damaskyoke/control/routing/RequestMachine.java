package io.damaskyoke.control.routing;

import io.damaskyoke.control.Machine;
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
 * One request's way through its router: to an agent, to another one if it was not run, and to
 * exactly one answer.
 *
 * <p>A request that may have reached an upstream is sent again only if it is idempotent. One that
 * surely did not run goes elsewhere as long as the retry budget and other agents last; one that a
 * stopping agent turned away goes on without cost.
 *
 * <p>A request with an idempotency key is claimed before it is sent. The claim names the agent, so
 * the way to another agent leads through the claim again.
 */
public final class RequestMachine implements Machine<RequestInput, RequestAction> {
    private static final Duration SUSPENSION = Duration.ofSeconds(2);
    private static final Duration COME_BACK = Duration.ofSeconds(1);

    private final boolean idempotent;
    private final boolean keyed;
    private final AgentChoice choice;
    private final RetryBudget budget;
    private final Set<VmId> tried = new HashSet<>();
    private State state = State.NEW;
    private VmId current;
    private boolean lookedUp;
    private boolean claimHeld;
    private boolean mayHaveRun;
    private Refusal lastRefusal;
    private Refusal pending;

    /** Picks an agent that was not tried yet. */
    @FunctionalInterface
    public interface AgentChoice {
        /** The next agent to try, or none. */
        Optional<VmId> next(Set<VmId> tried, Instant now);
    }

    private RequestMachine(
            boolean idempotent, boolean keyed, AgentChoice choice, RetryBudget budget) {
        this.idempotent = idempotent;
        this.keyed = keyed;
        this.choice = choice;
        this.budget = budget;
    }

    /** A machine for a new request. */
    public static RequestMachine of(boolean idempotent, AgentChoice choice, RetryBudget budget) {
        return new RequestMachine(
                idempotent,
                false,
                Objects.requireNonNull(choice, "choice"),
                Objects.requireNonNull(budget, "budget"));
    }

    /** A machine for a non-idempotent request whose idempotency key has to be claimed first. */
    public static RequestMachine keyed(AgentChoice choice, RetryBudget budget) {
        return new RequestMachine(
                false,
                true,
                Objects.requireNonNull(choice, "choice"),
                Objects.requireNonNull(budget, "budget"));
    }

    @Override
    public List<RequestAction> on(RequestInput input, Instant now) {
        return state.step(this, input, now);
    }

    /** True once the one answer was given or begun. */
    public boolean answered() {
        return state == State.ANSWERED;
    }

    /** The agent that has the request now, if one has. */
    public Optional<VmId> current() {
        return Optional.ofNullable(current);
    }

    private enum State {
        /** Nothing was done yet. */
        NEW {
            @Override
            List<RequestAction> step(RequestMachine request, RequestInput input, Instant now) {
                if (input instanceof RequestInput.Start) {
                    request.budget.firstTry();
                    return request.sendOn(now);
                }
                return request.giveUp(input);
            }
        },
        /** There is no agent to claim its key for, so the key is only looked up. */
        LOOKING_UP {
            @Override
            List<RequestAction> step(RequestMachine request, RequestInput input, Instant now) {
                if (input instanceof RequestInput.KeyUnknown) {
                    return request.sendOn(now);
                }
                if (input instanceof RequestInput.ClaimRefused refused) {
                    return request.reply(refused.refusal());
                }
                if (input instanceof RequestInput.AnsweredBefore) {
                    return request.replay();
                }
                return request.giveUp(input);
            }
        },
        /** Its key is being claimed for an agent, or the claim is being moved to one. */
        CLAIMING {
            @Override
            List<RequestAction> step(RequestMachine request, RequestInput input, Instant now) {
                if (input instanceof RequestInput.Claimed claimed) {
                    return request.fromCurrent(claimed.vm()) ? request.claimed() : List.of();
                }
                if (input instanceof RequestInput.ClaimRefused refused) {
                    return request.reply(refused.refusal());
                }
                if (input instanceof RequestInput.AnsweredBefore) {
                    return request.replay();
                }
                return request.giveUp(input);
            }
        },
        /** An agent has it and has not answered. */
        SENT {
            @Override
            List<RequestAction> step(RequestMachine request, RequestInput input, Instant now) {
                if (input instanceof RequestInput.Served served) {
                    return request.fromCurrent(served.vm()) ? request.deliver() : List.of();
                }
                if (input instanceof RequestInput.Refused refused) {
                    return request.fromCurrent(refused.vm())
                            ? request.refused(refused.refusal(), now)
                            : List.of();
                }
                if (input instanceof RequestInput.NotSent notSent) {
                    return request.fromCurrent(notSent.vm()) ? request.unreachable(now) : List.of();
                }
                if (input instanceof RequestInput.Lost lost) {
                    return request.fromCurrent(lost.vm()) ? request.lost(now) : List.of();
                }
                return request.giveUp(input);
            }
        },
        /** It is to be refused as not run, once its claim is known to be given back. */
        RELEASING {
            @Override
            List<RequestAction> step(RequestMachine request, RequestInput input, Instant now) {
                if (input instanceof RequestInput.Released released) {
                    return request.released(released.confirmed());
                }
                return request.givesUpWaiting(input) ? request.released(false) : List.of();
            }
        },
        /** The one answer was given or begun; whatever comes now is late. */
        ANSWERED {
            @Override
            List<RequestAction> step(RequestMachine request, RequestInput input, Instant now) {
                if (input instanceof RequestInput.Claimed) {
                    return request.claimedTooLate();
                }
                return request.surelyNotRun(input) ? request.release() : List.of();
            }
        };

        abstract List<RequestAction> step(RequestMachine request, RequestInput input, Instant now);
    }

    private boolean fromCurrent(VmId vm) {
        return vm.equals(current);
    }

    private List<RequestAction> sendOn(Instant now) {
        Optional<VmId> next = choice.next(Set.copyOf(tried), now);
        if (next.isEmpty()) {
            return keyed && !claimHeld && !lookedUp ? lookUp() : reply(whyNone());
        }
        current = next.get();
        tried.add(current);
        if (keyed) {
            state = State.CLAIMING;
            return List.of(new RequestAction.Claim(current));
        }
        return send();
    }

    // Its pool may be down because of the very payment that is repeated here. Refused unseen, the
    // caller would not learn until an agent is back that it was paid long ago.
    private List<RequestAction> lookUp() {
        lookedUp = true;
        state = State.LOOKING_UP;
        return List.of(new RequestAction.LookUp());
    }

    private List<RequestAction> send() {
        state = State.SENT;
        return List.of(new RequestAction.Send(current));
    }

    private List<RequestAction> claimed() {
        claimHeld = true;
        return send();
    }

    private List<RequestAction> replay() {
        state = State.ANSWERED;
        return List.of(new RequestAction.Replay());
    }

    // The claim was granted after the request had been given up, so it was never sent. Left alone,
    // the claim would make every repeat of the key end as "outcome unknown".
    private List<RequestAction> claimedTooLate() {
        claimHeld = true;
        return release();
    }

    private List<RequestAction> release() {
        if (!claimHeld) {
            return List.of();
        }
        claimHeld = false;
        return List.of(new RequestAction.Release());
    }

    private boolean surelyNotRun(RequestInput input) {
        if (input instanceof RequestInput.Refused refused) {
            return fromCurrent(refused.vm()) && refused.refusal().notRun();
        }
        return input instanceof RequestInput.NotSent notSent && fromCurrent(notSent.vm());
    }

    private List<RequestAction> deliver() {
        state = State.ANSWERED;
        return List.of(new RequestAction.Deliver(current));
    }

    private List<RequestAction> refused(Refusal refusal, Instant now) {
        lastRefusal = refusal;
        if (!refusal.notRun()) {
            mayHaveRun = true;
        }
        if (refusal.notRun() && refusal.code() == RefusalCode.STOPPING) {
            return turnedAway(now);
        }
        boolean again = refusal.notRun() && worthAnotherAgent(refusal.code());
        return again ? retry(now) : reply(refusal);
    }

    // A stopping agent hands nothing to its upstream, so the next try is no second load on any. On
    // the budget, a planned stop would use it up, and callers would be refused beside idle agents.
    // An agent that is left out can't take every request's free try.
    private List<RequestAction> turnedAway(Instant now) {
        return concat(new RequestAction.Suspend(current, SUSPENSION), sendOn(now));
    }

    private List<RequestAction> unreachable(Instant now) {
        RequestAction suspend = new RequestAction.Suspend(current, SUSPENSION);
        return concat(suspend, retry(now));
    }

    // The frame left and the link broke: the agent may have handed the request over. Sending it
    // again would run a payment twice, which shows as a grower charged twice; so only an idempotent
    // request goes elsewhere, and the caller of any other is told that the outcome is unknown.
    private List<RequestAction> lost(Instant now) {
        mayHaveRun = true;
        RequestAction suspend = new RequestAction.Suspend(current, SUSPENSION);
        if (idempotent) {
            return concat(suspend, retry(now));
        }
        return concat(
                suspend,
                reply(
                        Refusal.mayHaveRun(
                                RefusalCode.OUTCOME_UNKNOWN,
                                "the way to the upstream broke; the request may have run")));
    }

    private List<RequestAction> retry(Instant now) {
        if (!budget.takeRetry()) {
            return reply(whyNone());
        }
        return sendOn(now);
    }

    private Refusal whyNone() {
        if (lastRefusal != null) {
            return lastRefusal;
        }
        String message = "no upstream for this request can be reached now";
        return Refusal.notRun(RefusalCode.NO_UPSTREAM, message).retryAfter(COME_BACK);
    }

    private List<RequestAction> giveUp(RequestInput input) {
        if (input instanceof RequestInput.DeadlinePassed) {
            return cancelAndReply(RefusalCode.DEADLINE_EXCEEDED, "the deadline has passed");
        }
        if (input instanceof RequestInput.KeyWithdrawn) {
            return cancelAndReply(RefusalCode.KEY_WITHDRAWN, "the caller key was withdrawn");
        }
        if (input instanceof RequestInput.CallerGone) {
            return cancelAndReply(RefusalCode.REQUEST_TIMEOUT, "the caller is gone");
        }
        return List.of();
    }

    // A claimed request goes on when its caller has left: its answer is recorded, and the caller
    // who comes back with the key gets it. Cancelled, its outcome would stay unknown for ever.
    private List<RequestAction> cancelAndReply(RefusalCode code, String message) {
        boolean sent = state == State.SENT;
        boolean finishes = claimHeld && code != RefusalCode.KEY_WITHDRAWN;
        mayHaveRun |= sent;
        List<RequestAction> reply = reply(Refusal.notRun(code, message));
        if (!sent || finishes) {
            return reply;
        }
        return concat(new RequestAction.Cancel(current, message), reply);
    }

    // A second agent may truly say "not run" of a request that the first one ran before its link
    // broke. Passed on, it makes the caller send a payment again; so what any try may have done
    // decides what the caller is told.
    private List<RequestAction> reply(Refusal refusal) {
        boolean notRun = refusal.notRun() && !mayHaveRun && !earlierTryPossible(refusal);
        if (notRun && claimHeld) {
            return releaseFirst(refusal);
        }
        List<RequestAction> release = mayHaveRun ? List.of() : release();
        return Stream.concat(release.stream(), finalReply(refusal, notRun).stream()).toList();
    }

    // While the agent's "not run" was on its way here, a repeat at another router may have taken
    // the claim over and run. Told "not run", this caller would pay again under another key. The
    // claim's removal is a compare-and-swap, so if it is confirmed no repeat has taken it.
    private List<RequestAction> releaseFirst(Refusal refusal) {
        pending = refusal;
        state = State.RELEASING;
        return release();
    }

    private List<RequestAction> released(boolean confirmed) {
        return finalReply(pending, confirmed);
    }

    private boolean givesUpWaiting(RequestInput input) {
        return input instanceof RequestInput.DeadlinePassed
                || input instanceof RequestInput.KeyWithdrawn
                || input instanceof RequestInput.CallerGone;
    }

    private List<RequestAction> finalReply(Refusal refusal, boolean notRun) {
        state = State.ANSWERED;
        Refusal honest =
                new Refusal(refusal.code(), refusal.message(), notRun, refusal.retryAfter());
        return List.of(new RequestAction.Reply(honest));
    }

    // As long as the key is not claimed here, nobody here knows whether it came before, at another
    // router, and ran. "Not run" would then be true of this try and false of the payment, and the
    // caller would pay again under another key.
    private boolean earlierTryPossible(Refusal refusal) {
        return keyed && !claimHeld && refusal.code() != RefusalCode.KEY_REUSED;
    }

    private static boolean worthAnotherAgent(RefusalCode code) {
        return switch (code) {
            case OVERLOADED, NO_UPSTREAM, LOAD_FAILED, DEADLINE_UNREACHABLE -> true;
            default -> false;
        };
    }

    private static List<RequestAction> concat(RequestAction first, List<RequestAction> rest) {
        return Stream.concat(Stream.of(first), rest.stream()).toList();
    }
}
