package io.damaskyoke.direct;

import io.damaskyoke.control.direct.RouteKind;
import io.damaskyoke.control.upstreams.Upstream;
import io.damaskyoke.http.ClientCall;
import io.damaskyoke.http.ClientRequest;
import io.damaskyoke.http.ExchangeFailure;
import io.damaskyoke.http.ResponseListener;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.time.Instant;

/** One send of a request to one upstream, and what comes back. */
final class Attempt implements ResponseListener {
    /** A connection that was used a moment ago is hardly ever closed yet by the other side. */
    private static final Duration FRESH = Duration.ofMillis(300);

    /** A repeatable request that meets a closed connection only costs a second try. */
    private static final Duration KEPT = Duration.ofSeconds(3);

    private static final int SERVER_ERRORS = 500;
    private static final int GATEWAY_TIMEOUT = 504;

    private final Flow flow;
    private final Flows flows;
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

    Attempt(Flow flow, Flows flows, Upstream upstream) {
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
        String attempt = flow.request().attempt();
        ClientRequest request =
                new ClientRequest(
                        HttpMethod.valueOf(flow.call().method()),
                        flow.call().target(),
                        new DefaultHttpHeaders(),
                        flow.body(),
                        got -> flows.dialect().belongsToAttempt(attempt, got),
                        flow.route().isRepeatable() ? KEPT : FRESH);
        call = flows.client().send(upstream.facts().endpoint(), request, this);
    }

    /** True if nothing has come for longer than this. */
    boolean silent(Instant now, Duration longest) {
        return !over && Duration.between(heardAt, now).compareTo(longest) > 0;
    }

    void reading(boolean wanted) {
        if (!over && call != null) {
            call.reading(wanted);
        }
    }

    /** Calls it off: the upstream sees its connection close, and drops the request. */
    void cancel(Cut why) {
        if (over) {
            return;
        }
        if (left) {
            cut(why);
        }
        callOff();
        call.cancel();
    }

    private void cut(Cut how) {
        flows.crashes().cut(upstream, flow.digest(), sentAt, how);
    }

    // A connection may have taken long to open, or the thread was held: whether the upstream may
    // still be sent to, and the time that is left, are looked at when the bytes leave.
    @Override
    public boolean beforeSend(HttpHeaders headers) {
        Instant now = flows.now();
        if (!flow.mayLeave(now)) {
            callOff();
            flow.tooLate();
            return false;
        }
        if (!upstream.isOpen(now)) {
            callOff();
            flow.notSent("the upstream leaves");
            return false;
        }
        if (!flow.leavesOnce()) {
            callOff();
            flow.keptOut();
            return false;
        }
        left = true;
        upstream.requestSent(now);
        headers.set(
                flows.dialect()
                        .toUpstream(
                                flow.call().headers(),
                                flow.forwarding(upstream.facts().id(), now)));
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
        flows.limits().heard(upstream, answer.limit(), sentAt);
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
            flow.turnedAway(answer);
        } else if (streams()) {
            streamEnd();
        } else {
            wholeAnswer();
        }
    }

    @Override
    public void failed(ExchangeFailure failure) {
        if (over) {
            return;
        }
        upstream.requestFailed(flows.now());
        releaseBody();
        finish();
        boolean broke = failure == ExchangeFailure.BROKEN || failure == ExchangeFailure.CUT_SHORT;
        if (broke || failure == ExchangeFailure.NOT_CONNECTED) {
            flows.lost().connectionLost(upstream);
        }
        if (failure == ExchangeFailure.NOT_CONNECTED) {
            flows.crashes().unreachable(upstream);
        }
        if (failure.mayHaveArrived() && (answer == null || !answer.notRun())) {
            cut(broke ? Cut.BROKE : Cut.GARBLED);
        }
        if (!failure.mayHaveArrived()) {
            flow.notSent("no connection");
        } else if (answer != null && answer.notRun()) {
            flow.turnedAway(answer);
        } else {
            flow.attemptFailed("upstream " + upstream.facts().id() + ": " + failure, true);
        }
    }

    private boolean streams() {
        return flow.route().kind() == RouteKind.STREAMING && answer.success();
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
            spoiled("a success without the upstream's seal");
            return;
        }
        for (EventSplitter.StreamEvent event : events.take(data)) {
            if (over) {
                event.bytes().release();
                continue;
            }
            flow.startStream(answer.status(), flows.dialect().toCaller(headers));
            flow.event(event.bytes(), event.id());
        }
    }

    private void streamEnd() {
        if (events.unfinished() || !acceptable()) {
            spoiled("the stream ends in the middle of an event");
            return;
        }
        finish();
        borne();
        flow.startStream(answer.status(), flows.dialect().toCaller(headers));
        flow.streamEnded();
    }

    private void gather(ByteBuf data) {
        if (body == null) {
            body = Unpooled.compositeBuffer();
        }
        body.addComponent(true, data);
    }

    private void wholeAnswer() {
        if (answer.success() && !acceptable()) {
            spoiled("a success without the upstream's seal");
            return;
        }
        borne();
        boolean ownFailure = answer.status() >= SERVER_ERRORS;
        if (ownFailure && flow.mayRunAgain()) {
            releaseBody();
            finish();
            flow.attemptFailed("upstream answered " + answer.status(), true);
            return;
        }
        ByteBuf whole = body == null ? Unpooled.EMPTY_BUFFER : body;
        body = null;
        finish();
        if (promises(answer.status())) {
            whole.release();
            flow.attemptFailed("upstream answered " + answer.status(), false);
            return;
        }
        flow.answer(answer.status(), flows.dialect().toCaller(headers), whole);
    }

    // The upstream has taken the request and has not ended.
    private void borne() {
        if (flows.crashes().awaitsAnswers() && !flow.call().over()) {
            flows.crashes().answered(flow.digest(), sentAt, answer.status());
        }
    }

    // These tell a caller that its request has not run, and this upstream doesn't vouch for that.
    private static boolean promises(int status) {
        return status == 408 || status == 421 || status == 429 || status == 503;
    }

    private boolean acceptable() {
        return answer.sealed() && !answer.encoded();
    }

    private void spoiled(String why) {
        upstream.requestFailed(flows.now());
        cut(Cut.GARBLED);
        releaseBody();
        finish();
        call.cancel();
        flow.attemptFailed(why, true);
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
        flows.roomAt(flow.service());
    }
}
