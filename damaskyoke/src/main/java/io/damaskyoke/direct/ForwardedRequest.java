package io.damaskyoke.direct;

import io.damaskyoke.control.crashes.CrashSuspect;
import io.damaskyoke.control.crashes.RequestIdentity;
import io.damaskyoke.control.direct.AllowedRegions;
import io.damaskyoke.control.direct.Route;
import io.damaskyoke.control.direct.WorkspaceSpec;
import io.damaskyoke.control.upstreams.ModelRef;
import io.damaskyoke.control.upstreams.TokenUsage;
import io.damaskyoke.control.upstreams.Upstream;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.direct.crashes.IncompleteRunCause;
import io.damaskyoke.exchange.Refusal;
import io.damaskyoke.exchange.RefusalCode;
import io.damaskyoke.http.AnswerPlace;
import io.damaskyoke.http.HttpCall;
import io.damaskyoke.id.WorkspaceId;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Forwards one admitted request: queues it for an upstream, sends it, sends it again where that is
 * allowed, and answers the caller once.
 */
final class ForwardedRequest implements PendingRequest {
    /** How long no requests are sent to an upstream that rejected one because it was full. */
    private static final Duration FULL_UPSTREAM_PAUSE = Duration.ofMillis(30);

    /**
     * How long this request avoids an upstream that lacked the model, which may be loaded by then.
     */
    private static final Duration MISSING_MODEL_PAUSE = Duration.ofMillis(120);

    private static final Duration RETRY_AFTER = Duration.ofMillis(700);
    private static final Duration RETRY_AFTER_QUARANTINED = Duration.ofMinutes(10);
    private static final Duration RETRY_AFTER_MODEL_UNSERVED = Duration.ofMillis(1_500);

    private final InFlightRequests inFlight;
    private final HttpCall call;
    private final CallerRequest request;
    private final Route route;
    private final String service;
    private final AdmissionTerms admission;
    private final Instant arrivedAt;
    private final TimeBudget budget;
    private final Instant deadline;
    private final Instant queueDeadline;
    private final Set<UpstreamId> failedUpstreams = new HashSet<>();
    private final Map<UpstreamId, Instant> modelMissingUntil = new HashMap<>();
    private final RequestTimings timings;
    private UpstreamAttempt attempt;
    private Optional<String> lastEventId;
    private boolean answerStarted;
    private boolean finished;
    private int sendCount;
    private int possibleRuns;
    private String lastReason = "";
    private RequestIdentity identity;
    private boolean trial;

    ForwardedRequest(
            InFlightRequests inFlight,
            HttpCall call,
            CallerRequest request,
            Route route,
            String service,
            AdmissionTerms admission) {
        this.inFlight = inFlight;
        this.call = call;
        this.request = request;
        this.route = route;
        this.service = service;
        this.admission = admission;
        this.arrivedAt = admission.arrivedAt();
        this.timings = new RequestTimings(arrivedAt);
        this.lastEventId = request.lastEventId();
        this.budget = new TimeBudget(route, request.deadline());
        this.deadline = arrivedAt.plus(budget.total());
        this.queueDeadline = arrivedAt.plus(budget.maxTimeBeforeSend());
    }

    /** Queues the request for an upstream, or refuses it if it is quarantined. */
    void start() {
        call.onDisconnect(this::handleCallerGone);
        call.onWritable(this::resumeReading);
        if (!inFlight.crashes().isQuarantineEmpty()) {
            boolean mayBeTrial = !inFlight.crashes().quarantinedSuspects(identity()).isEmpty();
            Optional<Duration> quarantineLeft = inFlight.crashes().tryAdmit(identity());
            if (quarantineLeft.isPresent()) {
                refuseAsPoisonRequest(quarantineLeft.get());
                return;
            }
            trial = mayBeTrial;
        }
        if (!refuseIfCutByStop()) {
            inFlight.dispatcher().arrive(this);
        }
    }

    /**
     * Refuses the request if it has not been sent, and if this router's shutdown might cut it:
     * another router has all the time that its caller has.
     *
     * @return true if it is refused
     */
    boolean refuseIfCutByStop() {
        if (!neverSent() || !inFlight.isClosedBy(deadline)) {
            return false;
        }
        refuseAsStopping();
        return true;
    }

    private void refuseAsStopping() {
        inFlight.dispatcher().remove(this);
        refuse(
                Refusal.notRun(RefusalCode.STOPPING, "this router is shutting down")
                        .retryAfter(Duration.ZERO));
    }

    /** Returns what the request is recognized by, whichever id it comes with. */
    RequestIdentity identity() {
        if (identity == null) {
            String workspace = workspace().map(WorkspaceId::value).orElse("");
            identity =
                    new RequestIdentity(
                            CrashSuspect.request(call.target(), workspace, call.body().nioBuffer()),
                            promptParts());
        }
        return identity;
    }

    /** Returns the parts of the prompt that other requests may share. */
    List<CrashSuspect> promptParts() {
        return request.promptParts().stream().distinct().map(CrashSuspect::promptPart).toList();
    }

    // The request may have been quarantined while it was queued, perhaps because its own earlier
    // attempt crashed an upstream.
    private boolean isQuarantinedNow() {
        return !trial
                && !inFlight.crashes().isQuarantineEmpty()
                && inFlight.crashes().isQuarantined(identity());
    }

    /**
     * Returns true unless the request is quarantined for crashing upstreams. A quarantined request
     * that was admitted as a trial passes only once.
     */
    boolean passesQuarantine() {
        boolean quarantined = isQuarantinedNow();
        trial = false;
        return !quarantined;
    }

    /** Refuses the request, which was quarantined before anything was sent. */
    void refuseQuarantined() {
        undoSend();
        refuseAsPoisonRequest(RETRY_AFTER_QUARANTINED);
    }

    private void undoSend() {
        possibleRuns--;
        sendCount--;
        attempt = null;
    }

    private void refuseAsPoisonRequest(Duration retryAfter) {
        lastReason = "quarantined: " + inFlight.crashes().quarantinedSuspects(identity());
        String text = "upstreams have crashed while running this request";
        if (possibleRuns > 0) {
            refuse(Refusal.mayHaveRun(RefusalCode.UPSTREAM_FAILED, text));
        } else {
            refuse(Refusal.notRun(RefusalCode.CRASHES_UPSTREAMS, text).retryAfter(retryAfter));
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
    public Optional<WorkspaceId> workspace() {
        return admission.workspace().map(spec -> spec.workspace().id());
    }

    @Override
    public TokenUsage tokenUsage() {
        return request.tokenUsage().orElse(TokenUsage.UNKNOWN);
    }

    @Override
    public AllowedRegions allowedRegions() {
        return admission.allowedRegions();
    }

    @Override
    public int priority() {
        return admission.priority();
    }

    @Override
    public Instant arrivedAt() {
        return arrivedAt;
    }

    @Override
    public Instant onTimeSendDeadline() {
        return arrivedAt.plus(budget.onTimeBeforeSend());
    }

    @Override
    public Instant queueDeadline() {
        return queueDeadline;
    }

    @Override
    public Set<UpstreamId> excludedUpstreams() {
        if (modelMissingUntil.isEmpty()) {
            return failedUpstreams;
        }
        Instant now = inFlight.now();
        Set<UpstreamId> all = new HashSet<>(failedUpstreams);
        modelMissingUntil.forEach(
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
        return lastEventId;
    }

    /** Returns the time that remains until the deadline of the caller or the route. */
    Duration remainingTime(Instant now) {
        return Duration.between(now, deadline);
    }

    ForwardingMetadata forwardingMetadata(UpstreamId to, Instant now) {
        return new ForwardingMetadata(
                to,
                remainingTime(now),
                admission.workspace().map(WorkspaceSpec::name),
                priority(),
                lastEventId);
    }

    @Override
    public void sendTo(Upstream upstream) {
        if (finished) {
            return;
        }
        if (!hasTimeToSend(inFlight.now())) {
            handleDeadline();
            return;
        }
        if (isQuarantinedNow()) {
            refuseAsPoisonRequest(RETRY_AFTER_QUARANTINED);
            return;
        }
        if (refuseIfCutByStop()) {
            return;
        }
        sendCount++;
        possibleRuns++;
        timings.recordSent(upstream.facts().id(), inFlight.now());
        attempt = new UpstreamAttempt(this, inFlight, upstream);
        attempt.start();
    }

    /** Returns true if enough time remains for an answer to be of use to the caller. */
    boolean hasTimeToSend(Instant now) {
        return budget.allowsSending(remainingTime(now));
    }

    /** Refuses the request, whose time was up before anything was sent. */
    void refuseExpired() {
        undoSend();
        handleDeadline();
    }

    @Override
    public void refuseAtArrival(Duration retryAfter) {
        request.model().ifPresent(inFlight.unservedModels()::recordUnserved);
        lastReason = "model expected in " + retryAfter.toMillis() + " ms";
        refuse(
                Refusal.notRun(RefusalCode.NO_UPSTREAM, "the model can't be loaded in time")
                        .retryAfter(retryAfter));
    }

    @Override
    public void refusePaused(Duration retryAfter) {
        lastReason = "upstreams are paused";
        inFlight.statements().recordRefusedInPause();
        refuseUnserved("the upstreams have asked for a pause", retryAfter);
    }

    @Override
    public void handleNoUpstream() {
        Duration wait = request.model().isPresent() ? RETRY_AFTER_MODEL_UNSERVED : RETRY_AFTER;
        refuseUnserved("no upstream could take the request in time", wait);
    }

    private void refuseUnserved(String reason, Duration retryAfter) {
        request.model().ifPresent(inFlight.unservedModels()::recordUnserved);
        if (answerStarted) {
            abort("no upstream could resume the stream in time");
        } else if (possibleRuns > 0) {
            refuse(
                    Refusal.mayHaveRun(
                            RefusalCode.UPSTREAM_FAILED,
                            "no other upstream could take the request in time"));
        } else {
            refuse(Refusal.notRun(RefusalCode.NO_UPSTREAM, reason).retryAfter(retryAfter));
        }
    }

    /** Enforces the deadline and the idle timeout; called a few times a second. */
    void enforceTimeouts(Instant now) {
        if (!now.isBefore(deadline)) {
            handleDeadline();
        } else if (attempt != null && attempt.isSilent(now, idleTimeout())) {
            attempt.cancelSilent(now);
            handleAttemptFailure("upstream sent nothing until the idle timeout", true);
        }
    }

    private Duration idleTimeout() {
        boolean retryPossible = inFlight.hasRetryLeft(service) && sendCount < route.attempts();
        return budget.idleTimeout(answerStarted, retryPossible);
    }

    private void handleDeadline() {
        lastReason = "deadline exceeded";
        inFlight.dispatcher().remove(this);
        if (neverSent()) {
            refuse(
                    Refusal.notRun(
                                    RefusalCode.DEADLINE_UNREACHABLE,
                                    "no upstream could take the request before its deadline")
                            .retryAfter(RETRY_AFTER));
            return;
        }
        cancelAttempt(IncompleteRunCause.TIME_UP);
        if (answerStarted) {
            abort("deadline exceeded before the answer was complete");
        } else {
            refuse(
                    Refusal.mayHaveRun(
                            RefusalCode.DEADLINE_EXCEEDED, "no answer before the deadline"));
        }
    }

    private boolean neverSent() {
        return attempt == null && !answerStarted && possibleRuns == 0;
    }

    /**
     * Handles the shutdown of this router. A queued request is refused, and its caller may retry at
     * another router at once. A running request ends only if {@code noMoreTime} is set.
     */
    void stop(boolean noMoreTime) {
        if (neverSent()) {
            refuseAsStopping();
        } else if (noMoreTime) {
            handleDeadline();
        }
    }

    /** Retries the request, within the retry budget, as the upstream confirms it has not run it. */
    void retryRejected(UpstreamAnswer answer) {
        possibleRuns--;
        Upstream upstream = attempt.upstream();
        attempt = null;
        if (answer.misdirected()) {
            upstream.requestMisdirected();
            modelMissingUntil.put(upstream.facts().id(), inFlight.now().plus(MISSING_MODEL_PAUSE));
        } else {
            upstream.requestRejected(inFlight.now(), FULL_UPSTREAM_PAUSE);
        }
        lastReason = "rejected with status " + answer.status();
        retryWithinBudget(true);
    }

    /** Queues the request again, as nothing was sent; this needs no retry budget. */
    void requeueUnsent(String reason) {
        undoSend();
        lastReason = reason;
        inFlight.dispatcher().enqueue(this);
    }

    /** Retries or refuses the request, which was sent and failed, so that it may have run. */
    void handleAttemptFailure(String reason, boolean mayTryElsewhere) {
        lastReason = reason;
        if (attempt != null) {
            failedUpstreams.add(attempt.upstream().facts().id());
        }
        attempt = null;
        if (mayTryElsewhere
                && route.isRepeatable()
                && possibleRuns < Math.max(1, route.attempts())) {
            retryWithinBudget(false);
        } else if (answerStarted) {
            abort(reason);
        } else {
            refuse(Refusal.mayHaveRun(RefusalCode.UPSTREAM_FAILED, reason));
        }
    }

    /** Returns true if a failed answer may be discarded for a retry. */
    boolean mayRetryFailure() {
        return route.isRepeatable()
                && possibleRuns < route.attempts()
                && inFlight.hasRetryLeft(service);
    }

    private void retryWithinBudget(boolean notRun) {
        Optional<Duration> pause = inFlight.dispatcher().pauseRefusal(this);
        if (pause.isPresent()) {
            refusePaused(pause.get());
        } else if (inFlight.takeRetry(service)) {
            inFlight.dispatcher().enqueue(this);
        } else if (answerStarted) {
            abort("retry budget exhausted");
        } else if (notRun && possibleRuns == 0) {
            refuse(
                    Refusal.notRun(RefusalCode.OVERLOADED, "all upstreams are at capacity")
                            .retryAfter(RETRY_AFTER));
        } else {
            refuse(Refusal.mayHaveRun(RefusalCode.UPSTREAM_FAILED, lastReason));
        }
    }

    /** Forwards a complete answer to the caller. */
    void forwardAnswer(int status, HttpHeaders headers, ByteBuf body) {
        attempt = null;
        recordServed();
        call.answer(status, headers, body);
        finish("answered " + status);
    }

    /** Records where the answer to the current attempt began. */
    void recordAnswer(AnswerPlace place) {
        timings.recordAnswer(place);
    }

    /** Starts the answer to the caller, unless this attempt resumes a stream that has started. */
    void startStream(int status, HttpHeaders headers) {
        if (!answerStarted) {
            answerStarted = true;
            call.start(status, headers);
        }
    }

    /** Forwards a complete event of a stream to the caller. */
    void forwardEvent(ByteBuf bytes, Optional<String> id) {
        timings.recordPart(inFlight.now());
        if (id.isPresent()) {
            lastEventId = id;
        }
        call.part(bytes);
        if (attempt != null && !call.writable()) {
            attempt.setReading(false);
        }
    }

    /** Ends the stream to the caller after the upstream has sent it completely. */
    void endStream() {
        attempt = null;
        recordServed();
        call.end();
        finish("streamed");
    }

    private void recordServed() {
        request.model().ifPresent(inFlight.unservedModels()::recordServed);
    }

    private void resumeReading() {
        if (attempt != null) {
            attempt.setReading(true);
        }
    }

    private void handleCallerGone() {
        inFlight.dispatcher().remove(this);
        cancelAttempt(IncompleteRunCause.CALLER_GONE);
        if (possibleRuns == 0) {
            admission.refundTokens().run();
        }
        finish("caller disconnected");
    }

    private void cancelAttempt(IncompleteRunCause cause) {
        if (attempt != null) {
            attempt.cancel(cause);
            attempt = null;
        }
    }

    private void refuse(Refusal refusal) {
        if (refusal.notRun()) {
            admission.refundTokens().run();
        }
        HttpHeaders headers = inFlight.dialect().localAnswerHeaders(request.attemptId());
        RefusalWriter.send(call, headers, refusal);
        finish("refused " + RefusalWriter.status(refusal) + " " + refusal.message());
    }

    private void abort(String reason) {
        lastReason = reason;
        call.abort();
        finish("aborted");
    }

    private void finish(String outcome) {
        if (!finished) {
            finished = true;
            inFlight.recordFinished(this, outcome);
        }
    }

    boolean isFinished() {
        return finished;
    }

    /** Returns the inputs of the decisions about this request as fields of its log line. */
    String describe(Instant now) {
        StringBuilder text = new StringBuilder(160);
        text.append("request=").append(request.attemptId());
        text.append(" route=").append(route.name());
        request.model().ifPresent(model -> text.append(" model=").append(model));
        workspace().ifPresent(id -> text.append(" workspace=").append(id));
        text.append(" tokens=").append(admission.chargedTokens());
        text.append(" admitted_ms=").append(admission.admissionTime().toMillis());
        text.append(" sends=").append(sendCount);
        text.append(" runs=").append(possibleRuns);
        text.append(" tried=").append(failedUpstreams);
        timings.appendTo(text, now);
        if (!lastReason.isEmpty()) {
            text.append(" why=\"").append(lastReason).append('"');
            text.append(" prompt_parts=").append(request.promptParts());
        }
        return text.toString();
    }

    /** Returns a duplicate of the body for one attempt; the original stays for retries. */
    ByteBuf bodyForAttempt() {
        return call.body().isReadable() ? call.body().retainedDuplicate() : Unpooled.EMPTY_BUFFER;
    }
}
