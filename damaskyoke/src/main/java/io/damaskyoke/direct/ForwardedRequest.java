package io.damaskyoke.direct;

import io.damaskyoke.control.crashes.RequestDigest;
import io.damaskyoke.control.direct.AllowedRegions;
import io.damaskyoke.control.direct.Route;
import io.damaskyoke.control.upstreams.ModelRef;
import io.damaskyoke.control.upstreams.Upstream;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.exchange.Refusal;
import io.damaskyoke.exchange.RefusalCode;
import io.damaskyoke.http.HttpCall;
import io.damaskyoke.id.WorkspaceId;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Forwards one admitted request: queues it for an upstream, sends it, sends it again where that is
 * allowed, and answers the caller once.
 */
final class ForwardedRequest implements PendingRequest {
    /** How long no requests are sent to an upstream that rejected one because it was full. */
    private static final Duration FULL_PAUSE = Duration.ofMillis(30);

    /**
     * How long this request avoids an upstream that lacked the model, which may be loaded by then.
     */
    private static final Duration CONTRADICTED_PAUSE = Duration.ofMillis(120);

    private static final Duration COME_BACK = Duration.ofMillis(700);
    private static final Duration COME_BACK_IF_KEPT_OUT = Duration.ofMinutes(10);
    private static final Duration COME_BACK_COLD = Duration.ofMillis(1_500);

    private final InFlightRequests flows;
    private final HttpCall call;
    private final CallerRequest request;
    private final Route route;
    private final String service;
    private final Admission admitted;
    private final Instant began;
    private final TimeBudget budget;
    private final Instant end;
    private final Instant until;
    private final Set<UpstreamId> tried = new HashSet<>();
    private final Map<UpstreamId, Instant> contradicted = new HashMap<>();
    private final RequestTimings times;
    private UpstreamAttempt attempt;
    private Optional<String> lastEvent;
    private boolean started;
    private boolean over;
    private int sends;
    private int runs;
    private String why = "";
    private RequestDigest digest;
    private boolean trial;

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
    record Admission(
            Optional<WorkspaceId> workspace,
            AllowedRegions allowedRegions,
            int priority,
            Instant arrivedAt,
            Duration admissionTime,
            long chargedTokens,
            Runnable refundTokens) {}

    ForwardedRequest(
            InFlightRequests flows,
            HttpCall call,
            CallerRequest request,
            Route route,
            String service,
            Admission admitted) {
        this.flows = flows;
        this.call = call;
        this.request = request;
        this.route = route;
        this.service = service;
        this.admitted = admitted;
        this.began = admitted.arrivedAt();
        this.times = new RequestTimings(began);
        this.lastEvent = request.lastEventId();
        this.budget = new TimeBudget(route, request.deadline());
        this.end = began.plus(budget.total());
        this.until = began.plus(budget.maxTimeBeforeSend());
    }

    /** Queues the request for an upstream, or refuses it if it is quarantined. */
    void start() {
        call.onGone(this::callerGone);
        call.onWritable(this::callerReads);
        if (!flows.crashes().idle()) {
            boolean known = flows.crashes().knows(digest());
            Optional<Duration> keptOut = flows.crashes().refused(digest());
            if (keptOut.isPresent()) {
                refuseForCrashes(keptOut.get());
                return;
            }
            trial = known;
        }
        flows.dispatch().enqueue(this);
    }

    /** Returns the digest that identifies the request, whichever id it comes with. */
    RequestDigest digest() {
        if (digest == null) {
            String workspace = admitted.workspace().map(WorkspaceId::value).orElse("");
            digest = RequestDigest.of(call.target(), workspace, call.body().nioBuffer());
        }
        return digest;
    }

    // The request may have been quarantined while it was queued, also because its own earlier
    // attempt
    // has crashed an upstream.
    private boolean keptOutByNow() {
        return !trial && !flows.crashes().idle() && flows.crashes().keepsOut(digest());
    }

    /**
     * Returns true unless the request is quarantined for crashing upstreams. A quarantined request
     * that was admitted as a trial passes only once.
     */
    boolean passesQuarantine() {
        boolean keptOut = keptOutByNow();
        trial = false;
        return !keptOut;
    }

    /** Refuses the request, which was quarantined before anything was sent. */
    void refuseQuarantined() {
        takeBack();
        refuseForCrashes(COME_BACK_IF_KEPT_OUT);
    }

    private void takeBack() {
        runs--;
        sends--;
        attempt = null;
    }

    private void refuseForCrashes(Duration left) {
        String text = "upstreams have crashed while running this request";
        if (runs > 0) {
            refuse(Refusal.mayHaveRun(RefusalCode.UPSTREAM_FAILED, text));
        } else {
            refuse(Refusal.notRun(RefusalCode.CRASHES_UPSTREAMS, text).retryAfter(left));
        }
    }

    @Override
    public String service() {
        return service;
    }

    @Override
    public Optional<ModelRef> model() {
        return request.model();
    }

    @Override
    public AllowedRegions allowedRegions() {
        return admitted.allowedRegions();
    }

    @Override
    public int priority() {
        return admitted.priority();
    }

    @Override
    public Instant arrivedAt() {
        return began;
    }

    @Override
    public Instant onTimeSendDeadline() {
        return began.plus(budget.onTimeBeforeSend());
    }

    @Override
    public Instant queueDeadline() {
        return until;
    }

    @Override
    public Set<UpstreamId> excludedUpstreams() {
        if (contradicted.isEmpty()) {
            return tried;
        }
        Instant now = flows.now();
        Set<UpstreamId> all = new HashSet<>(tried);
        contradicted.forEach(
                (id, pausedUntil) -> {
                    if (now.isBefore(pausedUntil)) {
                        all.add(id);
                    }
                });
        return all;
    }

    HttpCall call() {
        return call;
    }

    Route route() {
        return route;
    }

    CallerRequest request() {
        return request;
    }

    Optional<String> lastEventId() {
        return lastEvent;
    }

    /** Returns the time that remains until the deadline of the caller or the route. */
    Duration remainingTime(Instant now) {
        return Duration.between(now, end);
    }

    ForwardingMetadata forwardingMetadata(UpstreamId to, Instant now) {
        return new ForwardingMetadata(
                to, remainingTime(now), admitted.workspace(), priority(), lastEvent);
    }

    @Override
    public void sendTo(Upstream upstream) {
        if (over) {
            return;
        }
        if (!hasTimeToSend(flows.now())) {
            timeUp();
            return;
        }
        if (keptOutByNow()) {
            refuseForCrashes(COME_BACK_IF_KEPT_OUT);
            return;
        }
        sends++;
        runs++;
        times.recordSent(upstream.facts().id(), flows.now());
        attempt = new UpstreamAttempt(this, flows, upstream);
        attempt.start();
    }

    /** Returns true if enough time remains for an answer to be of use to the caller. */
    boolean hasTimeToSend(Instant now) {
        return budget.allowsSending(remainingTime(now));
    }

    /** Refuses the request, whose time was up before anything was sent. */
    void refuseExpired() {
        takeBack();
        timeUp();
    }

    @Override
    public void handleNoUpstream() {
        request.model().ifPresent(flows.unservedModels()::recordUnserved);
        Duration wait = request.model().isPresent() ? COME_BACK_COLD : COME_BACK;
        if (started) {
            breakOff("no upstream could resume the stream in time");
        } else if (runs > 0) {
            refuse(
                    Refusal.mayHaveRun(
                            RefusalCode.UPSTREAM_FAILED,
                            "no other upstream could take the request in time"));
        } else {
            refuse(
                    Refusal.notRun(
                                    RefusalCode.NO_UPSTREAM,
                                    "no upstream could take the request in time")
                            .retryAfter(wait));
        }
    }

    /** Enforces the deadline and the idle timeout; called a few times a second. */
    void enforceTimeouts(Instant now) {
        if (!now.isBefore(end)) {
            timeUp();
        } else if (attempt != null && attempt.isSilent(now, longestSilence())) {
            attempt.upstream().requestFailed(now);
            flows.lostUpstreams().lost(attempt.upstream());
            attempt.cancel(IncompleteRunCause.SILENT);
            handleAttemptFailure("upstream sent nothing until the idle timeout", true);
        }
    }

    private Duration longestSilence() {
        boolean second = flows.hasRetryLeft(service) && sends < route.attempts();
        return budget.idleTimeout(started, second);
    }

    private void timeUp() {
        why = "deadline exceeded";
        flows.dispatch().remove(this);
        if (neverSent()) {
            refuse(
                    Refusal.notRun(
                                    RefusalCode.DEADLINE_UNREACHABLE,
                                    "no upstream could take the request before its deadline")
                            .retryAfter(COME_BACK));
            return;
        }
        cancelAttempt(IncompleteRunCause.TIME_UP);
        if (started) {
            breakOff("deadline exceeded before the answer was complete");
        } else {
            refuse(
                    Refusal.mayHaveRun(
                            RefusalCode.DEADLINE_EXCEEDED, "no answer before the deadline"));
        }
    }

    private boolean neverSent() {
        return attempt == null && !started && runs == 0;
    }

    /**
     * Handles the shutdown of this router. A queued request is refused, and its caller may retry at
     * another router at once. A running request ends only if {@code noMoreTime} is set.
     */
    void stop(boolean noMoreTime) {
        if (neverSent()) {
            flows.dispatch().remove(this);
            refuse(
                    Refusal.notRun(RefusalCode.STOPPING, "this router is shutting down")
                            .retryAfter(Duration.ZERO));
        } else if (noMoreTime) {
            timeUp();
        }
    }

    /** Retries the request, within the retry budget, as the upstream confirms it has not run it. */
    void retryRejected(UpstreamAnswer answer) {
        runs--;
        Upstream upstream = attempt.upstream();
        attempt = null;
        if (answer.misdirected()) {
            upstream.leaderContradicted();
            contradicted.put(upstream.facts().id(), flows.now().plus(CONTRADICTED_PAUSE));
        } else {
            upstream.requestRejected(flows.now(), FULL_PAUSE);
        }
        why = "rejected with status " + answer.status();
        again(true);
    }

    /** Queues the request again, as nothing was sent; this needs no retry budget. */
    void requeueUnsent(String reason) {
        takeBack();
        why = reason;
        flows.dispatch().enqueue(this);
    }

    /** Retries or refuses the request, which was sent and failed, so that it may have run. */
    void handleAttemptFailure(String reason, boolean mayTryElsewhere) {
        why = reason;
        if (attempt != null) {
            tried.add(attempt.upstream().facts().id());
        }
        attempt = null;
        if (mayTryElsewhere && route.isRepeatable() && runs < Math.max(1, route.attempts())) {
            again(false);
        } else if (started) {
            breakOff(reason);
        } else {
            refuse(Refusal.mayHaveRun(RefusalCode.UPSTREAM_FAILED, reason));
        }
    }

    /** Returns true if a failed answer may be discarded for a retry. */
    boolean mayRetryFailure() {
        return route.isRepeatable() && runs < route.attempts() && flows.hasRetryLeft(service);
    }

    private void again(boolean notRun) {
        if (flows.takeRetry(service)) {
            flows.dispatch().enqueue(this);
        } else if (started) {
            breakOff("retry budget exhausted");
        } else if (notRun && runs == 0) {
            refuse(
                    Refusal.notRun(RefusalCode.OVERLOADED, "all upstreams are at capacity")
                            .retryAfter(COME_BACK));
        } else {
            refuse(Refusal.mayHaveRun(RefusalCode.UPSTREAM_FAILED, why));
        }
    }

    /** Forwards a complete answer to the caller. */
    void forwardAnswer(int status, HttpHeaders headers, ByteBuf body) {
        attempt = null;
        answeredInFull();
        call.answer(status, headers, body);
        finish("answered " + status);
    }

    /** Starts the answer to the caller, unless this attempt resumes a stream that has started. */
    void startStream(int status, HttpHeaders headers) {
        if (!started) {
            started = true;
            call.start(status, headers);
        }
    }

    void forwardEvent(ByteBuf bytes, Optional<String> id) {
        times.recordPart(flows.now());
        if (id.isPresent()) {
            lastEvent = id;
        }
        call.part(bytes);
        if (attempt != null && !call.writable()) {
            attempt.setReading(false);
        }
    }

    void endStream() {
        attempt = null;
        answeredInFull();
        call.end();
        finish("streamed");
    }

    private void answeredInFull() {
        request.model().ifPresent(flows.unservedModels()::recordServed);
    }

    private void callerReads() {
        if (attempt != null) {
            attempt.setReading(true);
        }
    }

    private void callerGone() {
        flows.dispatch().remove(this);
        cancelAttempt(IncompleteRunCause.CALLER_GONE);
        if (runs == 0) {
            admitted.refundTokens().run();
        }
        finish("caller disconnected");
    }

    private void cancelAttempt(IncompleteRunCause why) {
        if (attempt != null) {
            attempt.cancel(why);
            attempt = null;
        }
    }

    private void refuse(Refusal refusal) {
        if (refusal.notRun()) {
            admitted.refundTokens().run();
        }
        HttpHeaders headers = flows.dialect().ownAnswer(request.attemptId());
        RefusalWriter.send(call, headers, refusal);
        finish("refused " + RefusalWriter.status(refusal) + " " + refusal.message());
    }

    private void breakOff(String reason) {
        why = reason;
        call.abort();
        finish("aborted");
    }

    private void finish(String outcome) {
        if (!over) {
            over = true;
            flows.recordFinished(this, outcome);
        }
    }

    boolean isFinished() {
        return over;
    }

    /** Returns the inputs of the decisions about this request as fields of its log line. */
    String describe(Instant now) {
        StringBuilder text = new StringBuilder(160);
        text.append("request=").append(request.attemptId());
        text.append(" route=").append(route.name());
        request.model().ifPresent(model -> text.append(" model=").append(model));
        admitted.workspace().ifPresent(id -> text.append(" workspace=").append(id));
        text.append(" tokens=").append(admitted.chargedTokens());
        text.append(" admitted_ms=").append(admitted.admissionTime().toMillis());
        text.append(" sends=").append(sends);
        text.append(" runs=").append(runs);
        text.append(" tried=").append(tried);
        times.appendTo(text, now);
        if (!why.isEmpty()) {
            text.append(" why=\"").append(why).append('"');
        }
        return text.toString();
    }

    /** Returns a duplicate of the body for one attempt; the original stays for retries. */
    ByteBuf bodyForAttempt() {
        return call.body().isReadable() ? call.body().retainedDuplicate() : Unpooled.EMPTY_BUFFER;
    }
}
