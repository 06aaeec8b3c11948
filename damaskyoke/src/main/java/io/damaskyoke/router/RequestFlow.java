package io.damaskyoke.router;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.control.claims.ClaimRecord;
import io.damaskyoke.control.routing.RequestAction;
import io.damaskyoke.control.routing.RequestInput;
import io.damaskyoke.control.routing.RequestMachine;
import io.damaskyoke.exchange.Answer;
import io.damaskyoke.exchange.ExchangeException;
import io.damaskyoke.exchange.Refusal;
import io.damaskyoke.exchange.Request;
import io.damaskyoke.id.VmId;
import io.damaskyoke.peer.Exchange;
import io.damaskyoke.peer.ExchangeResult;
import io.damaskyoke.peer.PeerLink;
import io.damaskyoke.timeline.EventType;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Drives one request from admission to its answer: feeds events to a {@link RequestMachine} and
 * carries out the actions that it returns. Control thread only.
 */
final class RequestFlow {
    private static final Duration RELEASE_TIMEOUT = Duration.ofSeconds(1);

    private final RequestDispatcher dispatcher;
    private final Request request;
    private final CompletableFuture<Answer> answer;
    private final RequestMachine machine;
    private final ControlThread.Cancellable deadline;
    private Exchange exchange;
    private ExchangeResult.Served served;
    private HeldClaim claim;
    private ClaimRecord recordedAnswer;
    private boolean closed;

    RequestFlow(
            RequestDispatcher dispatcher,
            Request request,
            RequestMachine.AgentSelector agentSelector,
            CompletableFuture<Answer> answer) {
        this.dispatcher = dispatcher;
        this.request = request;
        this.answer = answer;
        this.machine =
                request.claimable()
                        ? RequestMachine.withIdempotencyKey(agentSelector, dispatcher.retryBudget)
                        : RequestMachine.of(
                                request.idempotent(), agentSelector, dispatcher.retryBudget);
        this.deadline = dispatcher.control.after(timeLeft(), this::deadlinePassed);
    }

    Request request() {
        return request;
    }

    void start() {
        dispatcher.timeline.add(
                EventType.REQUEST,
                request.id().toString(),
                Map.of(
                        "workspace", request.workspace().value(),
                        "target", request.target().name()));
        feed(new RequestInput.Admitted());
    }

    void callerDisconnected() {
        feed(new RequestInput.CallerDisconnected());
    }

    void callerKeyWithdrawn() {
        feed(new RequestInput.CallerKeyWithdrawn());
    }

    /** Aborts the request, since the process is about to stop. */
    void abort() {
        if (machine.isAnswered() && exchange != null) {
            exchange.cancel(ExchangeException.Code.REVOKED, "the router is stopping");
        } else {
            feed(new RequestInput.DeadlinePassed());
        }
    }

    private void deadlinePassed() {
        if (machine.isAnswered() && exchange != null) {
            exchange.cancel(ExchangeException.Code.DEADLINE_EXCEEDED, "the deadline has passed");
        } else {
            feed(new RequestInput.DeadlinePassed());
        }
    }

    private void feed(RequestInput input) {
        for (RequestAction action : machine.on(input, now())) {
            carryOut(action);
        }
    }

    private void carryOut(RequestAction action) {
        if (action instanceof RequestAction.Send send) {
            send(send.vm());
        } else if (action instanceof RequestAction.ClaimKey wanted) {
            claim(wanted.vm());
        } else if (action instanceof RequestAction.LookUpKey) {
            lookUp();
        } else if (action instanceof RequestAction.ReleaseClaim) {
            release();
        } else if (action instanceof RequestAction.ReplayAnswer) {
            replay();
        } else if (action instanceof RequestAction.SuspendAgent suspend) {
            dispatcher.fleet.suspend(suspend.vm(), now(), suspend.time());
            dispatcher.metrics.count("router_agents_suspended");
        } else if (action instanceof RequestAction.CancelAtAgent cancel) {
            if (exchange != null) {
                exchange.cancel(cancel.reason());
            }
        } else if (action instanceof RequestAction.DeliverAnswer) {
            deliver();
        } else if (action instanceof RequestAction.Refuse reply) {
            reply(reply.refusal());
        }
    }

    private void claim(VmId vm) {
        Claims claims = dispatcher.claims;
        (claim == null
                        ? claims.claim(request, vm, dispatcher::connect)
                        : claims.move(claim, request, vm, dispatcher::connect))
                .thenAccept(result -> claimed(vm, result));
    }

    private void release() {
        dispatcher
                .claims
                .release(claim)
                .thenAccept(confirmed -> feed(new RequestInput.ClaimReleaseFinished(confirmed)));
        dispatcher.control.after(
                RELEASE_TIMEOUT, () -> feed(new RequestInput.ClaimReleaseFinished(false)));
    }

    private void lookUp() {
        dispatcher.claims.lookUp(request, dispatcher::connect).thenAccept(this::claimRefused);
    }

    private void claimed(VmId vm, ClaimResult result) {
        if (result instanceof ClaimResult.Claimed held) {
            claim = held.claim();
            feed(new RequestInput.KeyClaimed(vm));
        } else {
            claimRefused(result);
        }
    }

    private void claimRefused(ClaimResult result) {
        if (result instanceof ClaimResult.NotFound) {
            feed(new RequestInput.KeyNotFound());
        } else if (result instanceof ClaimResult.AlreadyAnswered found) {
            recordedAnswer = found.settled();
            feed(new RequestInput.RecordedAnswerFound());
        } else {
            feed(new RequestInput.ClaimRefused(((ClaimResult.Refused) result).refusal()));
        }
    }

    private void send(VmId vm) {
        dispatcher.fleet.countSent(vm);
        exchange = null;
        dispatcher
                .connect(vm)
                .whenComplete(
                        (link, failure) ->
                                dispatcher.control.run(() -> connected(vm, link, failure)));
    }

    private void connected(VmId vm, PeerLink link, Throwable failure) {
        if (machine.isAnswered() || failure != null) {
            dispatcher.fleet.countFinished(vm);
            feed(new RequestInput.NotSent(vm));
            return;
        }
        dispatcher.timeline.add(
                EventType.HANDED_OVER, request.id().toString(), Map.of("vm", vm.value()));
        exchange = dispatcher.client.invoke(link, request, timeLeft());
        exchange.result()
                .thenAccept(result -> dispatcher.control.run(() -> handleResult(vm, result)));
    }

    private void handleResult(VmId vm, ExchangeResult result) {
        if (result instanceof ExchangeResult.Served started) {
            answerStarted(vm, started);
        } else if (result instanceof ExchangeResult.Refused refused) {
            dispatcher.fleet.countFinished(vm);
            refused.load()
                    .ifPresent(
                            load ->
                                    dispatcher.fleet.updateLoad(
                                            vm, AgentLoadParser.fromWire(load)));
            feed(new RequestInput.AgentRefused(vm, refused.refusal()));
        } else if (result instanceof ExchangeResult.NotSent) {
            dispatcher.fleet.countFinished(vm);
            feed(new RequestInput.NotSent(vm));
        } else {
            dispatcher.fleet.countFinished(vm);
            feed(new RequestInput.ConnectionLost(vm));
        }
    }

    private void answerStarted(VmId vm, ExchangeResult.Served result) {
        served = result;
        result.ending()
                .whenComplete(
                        (ending, failure) ->
                                dispatcher.control.run(() -> answerEnded(vm, ending, failure)));
        if (machine.isAnswered() && claim != null) {
            dispatcher.claims.recordUndelivered(claim, result);
        } else if (machine.isAnswered()) {
            exchange.cancel("the answer came too late");
        }
        feed(new RequestInput.AnswerStarted(vm));
    }

    private void answerEnded(VmId vm, ExchangeResult.Ending ending, Throwable failure) {
        dispatcher.fleet.countFinished(vm);
        long tokens = request.tokens();
        if (failure == null) {
            dispatcher.fleet.updateLoad(vm, AgentLoadParser.fromWire(ending.load()));
            tokens = ending.tokensUsed() > 0 ? ending.tokensUsed() : request.tokens();
            dispatcher.timeline.add(EventType.ANSWERED, request.id().toString());
        } else {
            dispatcher.metrics.count("router_answers_cut");
        }
        close(tokens);
    }

    private void deliver() {
        dispatcher.recordAnswered();
        dispatcher.metrics.count("router_served");
        answer.complete(
                new Answer.Served(
                        served.status(),
                        served.headers(),
                        claim == null
                                ? served.body()
                                : dispatcher.claims.recordingBody(claim, served)));
    }

    private void replay() {
        dispatcher.recordAnswered();
        dispatcher.metrics.count("router_served");
        dispatcher.timeline.add(EventType.ANSWERED, request.id().toString());
        answer.complete(ClaimReplay.of(recordedAnswer));
        close(0);
    }

    private void reply(Refusal refusal) {
        dispatcher.recordAnswered();
        dispatcher.metrics.count("router_refused", "code", refusal.code().wireName());
        dispatcher.timeline.add(
                EventType.REFUSED,
                request.id().toString(),
                Map.of(
                        "code", refusal.code().wireName(),
                        "not_run", String.valueOf(refusal.notRun())));
        answer.complete(new Answer.Refused(refusal));
        close(refusal.notRun() ? 0 : request.tokens());
    }

    private void close(long tokens) {
        if (closed) {
            return;
        }
        closed = true;
        deadline.cancel();
        dispatcher.admission.settle(request, tokens, now());
        dispatcher.removeFinished(this);
    }

    private Duration timeLeft() {
        Duration left = Duration.between(now(), request.deadline());
        return left.isNegative() ? Duration.ZERO : left;
    }

    private Instant now() {
        return dispatcher.control.clock().instant();
    }
}
