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
 * One admitted request from its waiting to its answer: sent to an upstream, sent once more where
 * that is allowed, answered once.
 */
final class Flow implements Waiter {
    /** An upstream that was full is left alone for this. */
    private static final Duration FULL_PAUSE = Duration.ofMillis(30);

    /** An upstream that lacks the model is asked again after this, when it may have been loaded. */
    private static final Duration CONTRADICTED_PAUSE = Duration.ofMillis(120);

    private static final Duration COME_BACK = Duration.ofMillis(700);
    private static final Duration COME_BACK_IF_KEPT_OUT = Duration.ofMinutes(10);
    private static final Duration COME_BACK_COLD = Duration.ofMillis(1_500);

    private final Flows flows;
    private final HttpCall call;
    private final CallerRequest request;
    private final Route route;
    private final String service;
    private final Admitted admitted;
    private final Instant began;
    private final TimeBudget budget;
    private final Instant end;
    private final Instant until;
    private final Set<UpstreamId> tried = new HashSet<>();
    private final Map<UpstreamId, Instant> contradicted = new HashMap<>();
    private final FlowTimes times;
    private Attempt attempt;
    private Optional<String> lastEvent;
    private boolean started;
    private boolean over;
    private int sends;
    private int runs;
    private String why = "";
    private RequestDigest digest;
    private boolean trial;

    /**
     * How a request was let in.
     *
     * @param homes where it may be served
     * @param urgency 0 goes first
     * @param began when its first byte came
     * @param after how long that was before it was let in
     * @param tokens what it was charged
     * @param giveBack gives back what it was charged, if it turns out not to run
     */
    record Admitted(
            Optional<WorkspaceId> workspace,
            AllowedRegions homes,
            int urgency,
            Instant began,
            Duration after,
            long tokens,
            Runnable giveBack) {}

    Flow(
            Flows flows,
            HttpCall call,
            CallerRequest request,
            Route route,
            String service,
            Admitted admitted) {
        this.flows = flows;
        this.call = call;
        this.request = request;
        this.route = route;
        this.service = service;
        this.admitted = admitted;
        this.began = admitted.began();
        this.times = new FlowTimes(began);
        this.lastEvent = request.lastEvent();
        this.budget = new TimeBudget(route, request.deadline());
        this.end = began.plus(budget.whole());
        this.until = began.plus(budget.beforeSending());
    }

    /** Begins: it waits for an upstream, perhaps no time at all. */
    void start() {
        call.onDisconnect(this::callerGone);
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

    /** What it is known again by, under whatever id it comes. */
    RequestDigest digest() {
        if (digest == null) {
            String workspace = admitted.workspace().map(WorkspaceId::value).orElse("");
            digest = RequestDigest.of(call.target(), workspace, call.body().nioBuffer());
        }
        return digest;
    }

    // What it was let in for may have changed while it waited, or it has just ended one itself.
    private boolean keptOutByNow() {
        return !trial && !flows.crashes().idle() && flows.crashes().keepsOut(digest());
    }

    /**
     * True if it may leave for an upstream now, as far as upstreams have ended under it; one trial
     * leaves once.
     */
    boolean leavesOnce() {
        boolean keptOut = keptOutByNow();
        trial = false;
        return !keptOut;
    }

    /** It was kept out before it left, so nothing was sent. */
    void keptOut() {
        takeBack();
        refuseForCrashes(COME_BACK_IF_KEPT_OUT);
    }

    private void takeBack() {
        runs--;
        sends--;
        attempt = null;
    }

    private void refuseForCrashes(Duration left) {
        String text = "upstreams have ended under this request";
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
    public AllowedRegions homes() {
        return admitted.homes();
    }

    @Override
    public int urgency() {
        return admitted.urgency();
    }

    @Override
    public Instant since() {
        return began;
    }

    @Override
    public Instant inTimeUntil() {
        return began.plus(budget.inTimeBeforeSending());
    }

    @Override
    public Instant until() {
        return until;
    }

    @Override
    public Set<UpstreamId> tried() {
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

    Optional<String> lastEvent() {
        return lastEvent;
    }

    /** What is left of the caller's time and the route's. */
    Duration left(Instant now) {
        return Duration.between(now, end);
    }

    Forwarding forwarding(UpstreamId to, Instant now) {
        return new Forwarding(to, left(now), admitted.workspace(), urgency(), lastEvent);
    }

    @Override
    public void sendTo(Upstream upstream) {
        if (over) {
            return;
        }
        if (!mayLeave(flows.now())) {
            timeUp();
            return;
        }
        if (keptOutByNow()) {
            refuseForCrashes(COME_BACK_IF_KEPT_OUT);
            return;
        }
        sends++;
        runs++;
        times.sent(upstream.facts().id(), flows.now());
        attempt = new Attempt(this, flows, upstream);
        attempt.start();
    }

    /** True if enough of the caller's time is left for the request to be of use upstream. */
    boolean mayLeave(Instant now) {
        return budget.allowsSending(left(now));
    }

    /** Its time was over before it left, so nothing was sent. */
    void tooLate() {
        takeBack();
        timeUp();
    }

    @Override
    public void waitedInVain() {
        request.model().ifPresent(flows.unserved()::refused);
        Duration wait = request.model().isPresent() ? COME_BACK_COLD : COME_BACK;
        if (started) {
            breakOff("no upstream for the rest of the stream");
        } else if (runs > 0) {
            refuse(Refusal.mayHaveRun(RefusalCode.UPSTREAM_FAILED, "no upstream is left to try"));
        } else {
            refuse(
                    Refusal.notRun(RefusalCode.NO_UPSTREAM, "no upstream could take it in time")
                            .retryAfter(wait));
        }
    }

    /** Looks at the time; called a few times a second. */
    void check(Instant now) {
        if (!now.isBefore(end)) {
            timeUp();
        } else if (attempt != null && attempt.silent(now, longestSilence())) {
            attempt.upstream().requestFailed(now);
            flows.lost().connectionLost(attempt.upstream());
            attempt.cancel(Cut.SILENT);
            attemptFailed("no answer", true);
        }
    }

    private Duration longestSilence() {
        boolean second = flows.retryLeft(service) && sends < route.attempts();
        return budget.betweenBytes(started, second);
    }

    private void timeUp() {
        why = "time is up";
        flows.dispatch().forget(this);
        if (neverSent()) {
            refuse(
                    Refusal.notRun(RefusalCode.DEADLINE_UNREACHABLE, "no upstream in time")
                            .retryAfter(COME_BACK));
            return;
        }
        cancelAttempt(Cut.TIME_UP);
        if (started) {
            breakOff("the time is up in the middle of the answer");
        } else {
            refuse(Refusal.mayHaveRun(RefusalCode.DEADLINE_EXCEEDED, "no answer in time"));
        }
    }

    private boolean neverSent() {
        return attempt == null && !started && runs == 0;
    }

    /**
     * This router stops. A request that waits is refused, to come back elsewhere at once; one that
     * runs is ended only if there is no more time for it.
     */
    void stop(boolean noMoreTime) {
        if (neverSent()) {
            flows.dispatch().forget(this);
            refuse(
                    Refusal.notRun(RefusalCode.STOPPING, "this router stops")
                            .retryAfter(Duration.ZERO));
        } else if (noMoreTime) {
            timeUp();
        }
    }

    /** The upstream vouches that it has not run it: another one may, within the retry budget. */
    void turnedAway(UpstreamAnswer answer) {
        runs--;
        Upstream upstream = attempt.upstream();
        attempt = null;
        if (answer.misdirected()) {
            upstream.leaderContradicted();
            contradicted.put(upstream.facts().id(), flows.now().plus(CONTRADICTED_PAUSE));
        } else {
            upstream.requestRejected(flows.now(), FULL_PAUSE);
        }
        why = "turned away with " + answer.status();
        again(true);
    }

    /** Nothing was sent, for this reason; trying elsewhere costs nobody anything. */
    void notSent(String reason) {
        takeBack();
        why = reason;
        flows.dispatch().enqueue(this);
    }

    /** It was sent and failed, so it may have run. */
    void attemptFailed(String reason, boolean mayTryElsewhere) {
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

    /** True if a failed answer may be thrown away for a second try. */
    boolean mayRunAgain() {
        return route.isRepeatable() && runs < route.attempts() && flows.retryLeft(service);
    }

    private void again(boolean notRun) {
        if (flows.takeRetry(service)) {
            flows.dispatch().enqueue(this);
        } else if (started) {
            breakOff("the retry budget is used up");
        } else if (notRun && runs == 0) {
            refuse(
                    Refusal.notRun(RefusalCode.OVERLOADED, "the upstreams are full")
                            .retryAfter(COME_BACK));
        } else {
            refuse(Refusal.mayHaveRun(RefusalCode.UPSTREAM_FAILED, why));
        }
    }

    /** Passes a whole answer on. */
    void answer(int status, HttpHeaders headers, ByteBuf body) {
        attempt = null;
        answeredInFull();
        call.answer(status, headers, body);
        finish("answered " + status);
    }

    /** Begins to pass a stream on; a stream that goes on elsewhere has begun already. */
    void startStream(int status, HttpHeaders headers) {
        if (!started) {
            started = true;
            call.start(status, headers);
        }
    }

    void event(ByteBuf bytes, Optional<String> id) {
        times.part(flows.now());
        if (id.isPresent()) {
            lastEvent = id;
        }
        call.part(bytes);
        if (attempt != null && !call.writable()) {
            attempt.reading(false);
        }
    }

    void streamEnded() {
        attempt = null;
        answeredInFull();
        call.end();
        finish("streamed");
    }

    private void answeredInFull() {
        request.model().ifPresent(flows.unserved()::served);
    }

    private void callerReads() {
        if (attempt != null) {
            attempt.reading(true);
        }
    }

    private void callerGone() {
        flows.dispatch().forget(this);
        cancelAttempt(Cut.CALLER_GONE);
        if (runs == 0) {
            admitted.giveBack().run();
        }
        finish("caller gone");
    }

    private void cancelAttempt(Cut why) {
        if (attempt != null) {
            attempt.cancel(why);
            attempt = null;
        }
    }

    private void refuse(Refusal refusal) {
        if (refusal.notRun()) {
            admitted.giveBack().run();
        }
        HttpHeaders headers = flows.dialect().localAnswerHeaders(request.attempt());
        Refusals.send(call, headers, refusal);
        finish("refused " + Refusals.status(refusal) + " " + refusal.message());
    }

    private void breakOff(String reason) {
        why = reason;
        call.abort();
        finish("broken off");
    }

    private void finish(String outcome) {
        if (!over) {
            over = true;
            flows.ended(this, outcome);
        }
    }

    boolean over() {
        return over;
    }

    /** What the decisions went by, for the log. */
    String describe(Instant now) {
        StringBuilder text = new StringBuilder(160);
        text.append("request=").append(request.attempt());
        text.append(" route=").append(route.name());
        request.model().ifPresent(model -> text.append(" model=").append(model));
        admitted.workspace().ifPresent(id -> text.append(" workspace=").append(id));
        text.append(" tokens=").append(admitted.tokens());
        text.append(" admitted_ms=").append(admitted.after().toMillis());
        text.append(" sends=").append(sends);
        text.append(" runs=").append(runs);
        text.append(" tried=").append(tried);
        times.describe(text, now);
        if (!why.isEmpty()) {
            text.append(" why=\"").append(why).append('"');
        }
        return text.toString();
    }

    /** A copy of the body for one try; the caller's own stays for another. */
    ByteBuf body() {
        return call.body().isReadable() ? call.body().retainedDuplicate() : Unpooled.EMPTY_BUFFER;
    }
}
