package io.damaskyoke.direct;

import io.damaskyoke.control.direct.RouteKind;
import io.damaskyoke.control.upstreams.Upstream;
import io.damaskyoke.http.AnswerListener;
import io.damaskyoke.http.ClientCall;
import io.damaskyoke.http.ClientRequest;
import io.damaskyoke.http.Failure;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.time.Instant;

/**
 * Sends a request once to one upstream and reads the answer.
 *
 * <p>The outcome goes to the {@link ForwardedRequest}, which may start another attempt. Crash
 * detection and the upstream's statistics learn of it too.
 */
final class UpstreamAttempt implements AnswerListener {
    /**
     * Longest idle time of a pooled connection for requests that must not be repeated. The upstream
     * has hardly ever closed a connection that was used so recently.
     */
    private static final Duration FRESH = Duration.ofMillis(300);

    /**
     * Longest idle time of a pooled connection for repeatable requests. If the upstream has closed
     * it, that costs only a retry.
     */
    private static final Duration KEPT = Duration.ofSeconds(3);

    private static final int SERVER_ERRORS = 500;
    private static final int GATEWAY_TIMEOUT = 504;

    private final ForwardedRequest flow;
    private final InFlightRequests flows;
    private final Upstream upstream;
    private final EventSplitter events = new EventSplitter();
    private final Instant sentAt;
    private Instant heardAt;
    private ClientCall call;
    private UpstreamAnswer answer;
    private HttpHeaders headers;
    private CompositeByteBuf body;
    private boolean heard;
    private boolean left;
    private boolean over;

    UpstreamAttempt(ForwardedRequest flow, InFlightRequests flows, Upstream upstream) {
        this.flow = flow;
        this.flows = flows;
        this.upstream = upstream;
        this.sentAt = flows.now();
        this.heardAt = sentAt;
    }

    Upstream upstream() {
        return upstream;
    }

    void start() {
        upstream.requestAssigned(flow.model().orElse(null), sentAt);
        String attempt = flow.request().attemptId();
        ClientRequest request =
                new ClientRequest(
                        HttpMethod.valueOf(flow.call().method()),
                        flow.call().target(),
                        new DefaultHttpHeaders(),
                        flow.bodyForAttempt(),
                        got -> flows.dialect().answers(attempt, got),
                        flow.route().isRepeatable() ? KEPT : FRESH);
        call = flows.client().send(upstream.facts().endpoint(), request, this);
    }

    /** Returns true if nothing has been received for longer than the given time. */
    boolean isSilent(Instant now, Duration longest) {
        return !over && Duration.between(heardAt, now).compareTo(longest) > 0;
    }

    void setReading(boolean wanted) {
        if (!over && call != null) {
            call.reading(wanted);
        }
    }

    /** Cancels the attempt; the upstream sees its connection close and drops the request. */
    void cancel(IncompleteRunCause why) {
        if (over) {
            return;
        }
        if (left) {
            cut(why);
        }
        callOff();
        call.cancel();
    }

    private void cut(IncompleteRunCause how) {
        flows.crashes().cut(upstream, flow.digest(), sentAt, how);
    }

    // The connection may have taken long to open, or the thread may have been delayed. So the
    // upstream's state and the remaining time are checked again when the bytes are written.
    @Override
    public boolean leaves(HttpHeaders headers) {
        Instant now = flows.now();
        if (!flow.hasTimeToSend(now)) {
            callOff();
            flow.refuseExpired();
            return false;
        }
        if (!upstream.isOpen(now)) {
            callOff();
            flow.requeueUnsent("upstream is leaving");
            return false;
        }
        if (!flow.passesQuarantine()) {
            callOff();
            flow.refuseQuarantined();
            return false;
        }
        left = true;
        upstream.requestSent(now);
        headers.set(
                flows.dialect()
                        .toUpstream(
                                flow.call().headers(),
                                flow.forwardingMetadata(upstream.facts().id(), now)));
        return true;
    }

    private void callOff() {
        upstream.requestCanceled();
        finish();
    }

    @Override
    public void head(int status, HttpHeaders fromUpstream) {
        if (over) {
            return;
        }
        heardAt = flows.now();
        headers = fromUpstream;
        answer = flows.dialect().answer(status, fromUpstream, upstream.facts().id());
        answer.load()
                .ifPresent(load -> upstream.loadReported(load.running(), load.waiting(), heardAt));
        flows.limitedUpstreams().heard(upstream, answer.limit(), sentAt);
        flows.crashes().answers(upstream, sentAt);
    }

    @Override
    public void part(ByteBuf data) {
        if (over || answer == null) {
            data.release();
            return;
        }
        firstByte();
        if (streams()) {
            events(data);
        } else {
            gather(data);
        }
    }

    @Override
    public void end() {
        if (over) {
            return;
        }
        firstByte();
        if (answer.notRun()) {
            releaseBody();
            finish();
            flow.retryRejected(answer);
        } else if (streams()) {
            streamEnd();
        } else {
            wholeAnswer();
        }
    }

    @Override
    public void failed(Failure failure) {
        if (over) {
            return;
        }
        upstream.requestFailed(flows.now());
        releaseBody();
        finish();
        boolean broke = failure == Failure.BROKEN || failure == Failure.CUT_SHORT;
        if (broke || failure == Failure.NOT_CONNECTED) {
            flows.lostUpstreams().lost(upstream);
        }
        if (failure == Failure.NOT_CONNECTED) {
            flows.crashes().unreachable(upstream);
        }
        if (failure.mayHaveArrived() && (answer == null || !answer.notRun())) {
            cut(broke ? IncompleteRunCause.BROKE : IncompleteRunCause.GARBLED);
        }
        if (!failure.mayHaveArrived()) {
            flow.requeueUnsent("connection to upstream failed");
        } else if (answer != null && answer.notRun()) {
            flow.retryRejected(answer);
        } else {
            flow.handleAttemptFailure("upstream " + upstream.facts().id() + ": " + failure, true);
        }
    }

    private boolean streams() {
        return flow.route().kind() == RouteKind.STREAMING && answer.isSuccess();
    }

    private void firstByte() {
        heardAt = flows.now();
        if (heard || answer.notRun()) {
            return;
        }
        heard = true;
        boolean failing = answer.status() >= SERVER_ERRORS && answer.status() != GATEWAY_TIMEOUT;
        if (failing) {
            upstream.requestFailed(heardAt);
        } else {
            upstream.requestAnswered(Duration.between(sentAt, heardAt), heardAt);
        }
    }

    private void events(ByteBuf data) {
        if (!acceptable()) {
            data.release();
            spoiled("successful answer without the upstream's seal, or with an encoded body");
            return;
        }
        for (EventSplitter.StreamEvent event : events.add(data)) {
            if (over) {
                event.bytes().release();
                continue;
            }
            flow.startStream(answer.status(), flows.dialect().toCaller(headers));
            flow.forwardEvent(event.bytes(), event.id());
        }
    }

    private void streamEnd() {
        if (events.hasIncompleteEvent() || !acceptable()) {
            spoiled("stream ended within an event, or without the upstream's seal");
            return;
        }
        finish();
        borne();
        flow.startStream(answer.status(), flows.dialect().toCaller(headers));
        flow.endStream();
    }

    private void gather(ByteBuf data) {
        if (body == null) {
            body = Unpooled.compositeBuffer();
        }
        body.addComponent(true, data);
    }

    private void wholeAnswer() {
        if (answer.isSuccess() && !acceptable()) {
            spoiled("successful answer without the upstream's seal, or with an encoded body");
            return;
        }
        borne();
        boolean ownFailure = answer.status() >= SERVER_ERRORS;
        if (ownFailure && flow.mayRetryFailure()) {
            releaseBody();
            finish();
            flow.handleAttemptFailure("upstream answered " + answer.status(), true);
            return;
        }
        ByteBuf whole = body == null ? Unpooled.EMPTY_BUFFER : body;
        body = null;
        finish();
        if (promises(answer.status())) {
            whole.release();
            flow.handleAttemptFailure("upstream answered " + answer.status(), false);
            return;
        }
        flow.forwardAnswer(answer.status(), flows.dialect().toCaller(headers), whole);
    }

    // Records that the upstream answered the request and so did not crash on it.
    private void borne() {
        if (flows.crashes().awaitsAnswers() && !flow.call().over()) {
            flows.crashes().answered(flow.digest(), sentAt, answer.status());
        }
    }

    // These statuses tell a caller that its request has not run, which this upstream does not
    // confirm.
    private static boolean promises(int status) {
        return status == 408 || status == 421 || status == 429 || status == 503;
    }

    private boolean acceptable() {
        return answer.sealed() && !answer.contentEncoded();
    }

    private void spoiled(String why) {
        upstream.requestFailed(flows.now());
        cut(IncompleteRunCause.GARBLED);
        releaseBody();
        finish();
        call.cancel();
        flow.handleAttemptFailure(why, true);
    }

    private void releaseBody() {
        if (body != null) {
            body.release();
            body = null;
        }
    }

    private void finish() {
        over = true;
        events.clear();
        if (!left) {
            upstream.requestNotSent();
        }
        upstream.requestFinished(flow.model().orElse(null));
        flows.sendQueued(flow.service());
    }
}
