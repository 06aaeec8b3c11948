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
 * surely did not run goes elsewhere as long as the retry budget and other agents last.
 */
public final class RequestMachine implements Machine<RequestInput, RequestAction> {
    private static final Duration SUSPENSION = Duration.ofSeconds(2);
    private static final Duration COME_BACK = Duration.ofSeconds(1);

    private final boolean idempotent;
    private final AgentChoice choice;
    private final RetryBudget budget;
    private final Set<VmId> tried = new HashSet<>();
    private State state = State.NEW;
    private VmId current;
    private boolean mayHaveRun;
    private Refusal lastRefusal;

    /** Picks an agent that was not tried yet. */
    @FunctionalInterface
    public interface AgentChoice {
        /** The next agent to try, or none. */
        Optional<VmId> next(Set<VmId> tried, Instant now);
    }

    private RequestMachine(boolean idempotent, AgentChoice choice, RetryBudget budget) {
        this.idempotent = idempotent;
        this.choice = choice;
        this.budget = budget;
    }

    /** A machine for a new request. */
    public static RequestMachine of(boolean idempotent, AgentChoice choice, RetryBudget budget) {
        return new RequestMachine(
                idempotent,
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
        /** The one answer was given or begun; whatever comes now is late. */
        ANSWERED {
            @Override
            List<RequestAction> step(RequestMachine request, RequestInput input, Instant now) {
                return List.of();
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
            return reply(whyNone());
        }
        current = next.get();
        tried.add(current);
        state = State.SENT;
        return List.of(new RequestAction.Send(current));
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
        boolean again = refusal.notRun() && worthAnotherAgent(refusal.code());
        return again ? retry(now) : reply(refusal);
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

    private List<RequestAction> cancelAndReply(RefusalCode code, String message) {
        mayHaveRun |= state == State.SENT;
        List<RequestAction> reply = reply(Refusal.notRun(code, message));
        if (current == null) {
            return reply;
        }
        return concat(new RequestAction.Cancel(current, message), reply);
    }

    // A second agent may truly say "not run" of a request that the first one ran before its link
    // broke. Passed on, it makes the caller send a payment again; so what any try may have done
    // decides what the caller is told.
    private List<RequestAction> reply(Refusal refusal) {
        state = State.ANSWERED;
        boolean notRun = refusal.notRun() && !mayHaveRun;
        Refusal honest =
                new Refusal(refusal.code(), refusal.message(), notRun, refusal.retryAfter());
        return List.of(new RequestAction.Reply(honest));
    }

    private static boolean worthAnotherAgent(RefusalCode code) {
        return switch (code) {
            case OVERLOADED, NO_UPSTREAM, LOAD_FAILED, STOPPING, DEADLINE_UNREACHABLE -> true;
            default -> false;
        };
    }

    private static List<RequestAction> concat(RequestAction first, List<RequestAction> rest) {
        return Stream.concat(Stream.of(first), rest.stream()).toList();
    }
}
