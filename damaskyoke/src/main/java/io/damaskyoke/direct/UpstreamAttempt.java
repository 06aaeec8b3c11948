package io.damaskyoke.direct;

import io.damaskyoke.control.direct.RouteKind;
import io.damaskyoke.control.upstreams.Upstream;
import io.damaskyoke.control.upstreams.UpstreamDeparture;
import io.damaskyoke.direct.crashes.IncompleteRunCause;
import io.damaskyoke.http.ClientCall;
import io.damaskyoke.http.ClientRequest;
import io.damaskyoke.http.ExchangeFailure;
import io.damaskyoke.http.ResponseListener;
import io.damaskyoke.http.ResponseMatch;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.time.Instant;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Sends a request once to one upstream and reads the answer.
 *
 * <p>The outcome goes to the {@link ForwardedRequest}, which may start another attempt. Crash
 * detection and the upstream's statistics learn of it too.
 */
final class UpstreamAttempt implements ResponseListener {
    private static final Logger LOG = LogManager.getLogger(UpstreamAttempt.class);

    /**
     * Longest idle time of a pooled connection for requests that must not be repeated. The upstream
     * has hardly ever closed a connection that was used so recently.
     */
    private static final Duration MAX_IDLE_NON_REPEATABLE = Duration.ofMillis(300);

    /**
     * Longest idle time of a pooled connection for repeatable requests. If the upstream has closed
     * it, that costs only a retry.
     */
    private static final Duration MAX_IDLE_REPEATABLE = Duration.ofSeconds(3);

    private static final int MIN_SERVER_ERROR = 500;
    private static final int GATEWAY_TIMEOUT = 504;

    private final ForwardedRequest forwarded;
    private final InFlightRequests inFlight;
    private final Upstream upstream;
    private final EventSplitter splitter = new EventSplitter();
    private final Instant sentAt;
    private Instant lastReceivedAt;
    private SentTo sentTo;
    private ClientCall call;
    private UpstreamAnswer answer;
    private HttpHeaders headers;
    private AnswerBuffer body;
    private boolean firstByteReceived;
    private boolean sent;
    private boolean finished;

    UpstreamAttempt(ForwardedRequest forwarded, InFlightRequests inFlight, Upstream upstream) {
        this.forwarded = forwarded;
        this.inFlight = inFlight;
        this.upstream = upstream;
        this.sentAt = inFlight.now();
        this.lastReceivedAt = sentAt;
    }

    Upstream upstream() {
        return upstream;
    }

    void start() {
        upstream.requestAssigned(forwarded.model().orElse(null), forwarded.tokenUsage(), sentAt);
        upstream.pause().requestAssigned();
        ClientRequest request =
                new ClientRequest(
                        HttpMethod.valueOf(forwarded.call().method()),
                        forwarded.call().target(),
                        new DefaultHttpHeaders(),
                        forwarded.bodyForAttempt(),
                        ResponseMatch.byId(
                                forwarded.request().attemptId(),
                                inFlight.dialect()::answeredAttempts),
                        forwarded.route().isRepeatable()
                                ? MAX_IDLE_REPEATABLE
                                : MAX_IDLE_NON_REPEATABLE);
        call = inFlight.client().send(upstream.facts().endpoint(), request, this);
    }

    /** Returns true if nothing has been received for longer than the given time. */
    boolean isSilent(Instant now, Duration longest) {
        return !finished && Duration.between(lastReceivedAt, now).compareTo(longest) > 0;
    }

    void setReading(boolean wanted) {
        if (!finished && call != null) {
            call.reading(wanted);
        }
    }

    /** Cancels the attempt; the upstream sees its connection close and drops the request. */
    void cancel(IncompleteRunCause cause) {
        if (finished) {
            return;
        }
        if (sent) {
            reportIncompleteRun(cause);
        }
        abandon();
        call.cancel();
    }

    /** Cancels the attempt, as the upstream has been silent for too long. */
    void cancelSilent(Instant now) {
        upstream.requestFailed(sentAt, now);
        inFlight.lostUpstreams().connectionLost(upstream);
        cancel(IncompleteRunCause.SILENT);
    }

    private void reportIncompleteRun(IncompleteRunCause cause) {
        inFlight.crashes().recordCutRun(upstream, forwarded.identity(), sentAt, cause);
    }

    // The connection may have taken long to open, or the thread may have been delayed. So the
    // upstream's state and the remaining time are checked again when the bytes are written.
    @Override
    public boolean beforeSend(HttpHeaders headers) {
        Instant now = inFlight.now();
        if (!forwarded.hasTimeToSend(now)) {
            abandon();
            forwarded.refuseExpired();
            return false;
        }
        if (!upstream.maySend(now)) {
            abandon();
            forwarded.requeueUnsent(
                    upstream.isOpen(now) ? "upstream asked for a pause" : "upstream is leaving");
            return false;
        }
        if (!forwarded.passesQuarantine()) {
            abandon();
            forwarded.refuseQuarantined();
            return false;
        }
        sent = true;
        inFlight.dispatcher().departureOf(upstream).ifPresent(this::logSentToLeaving);
        sentTo = SentTo.of(upstream, now);
        upstream.requestSent(now);
        headers.set(
                inFlight.dialect()
                        .toUpstream(
                                forwarded.call().headers(),
                                forwarded.forwardingMetadata(upstream.facts().id(), now)));
        return true;
    }

    private void logSentToLeaving(UpstreamDeparture departure) {
        LOG.warn(
                "request={} is sent to upstream={} although it {}: known at revision {}, assigned"
                        + " {} ms ago by the entry of revision {}",
                forwarded.request().attemptId(),
                departure.upstream(),
                departure.removed() ? "was removed" : "drains",
                departure.revision(),
                Duration.between(sentAt, inFlight.now()).toMillis(),
                upstream.facts().revision());
    }

    private void abandon() {
        upstream.requestUndecided();
        finish();
    }

    @Override
    public void head(int status, HttpHeaders fromUpstream) {
        if (finished) {
            return;
        }
        lastReceivedAt = inFlight.now();
        headers = fromUpstream;
        forwarded.recordAnswer(call.place());
        answer =
                inFlight.dialect()
                        .answer(status, fromUpstream, upstream.facts().id(), lastReceivedAt);
        inFlight.statements().answerReceived(sentTo, answer.statements());
        inFlight.crashes().upstreamAnswered(upstream, sentAt);
    }

    @Override
    public void part(ByteBuf data) {
        if (finished || answer == null) {
            data.release();
            return;
        }
        recordFirstByte();
        if (isStreaming()) {
            forwardEvents(data);
        } else {
            bufferBody(data);
        }
    }

    // An upstream that sends an untrusted success may send more of them.
    @Override
    public boolean mayReuseConnection() {
        return finished || !answer.isSuccess() || isTrusted();
    }

    @Override
    public void end() {
        if (finished) {
            return;
        }
        recordFirstByte();
        if (answer.notRun()) {
            finish();
            forwarded.retryRejected(answer);
        } else if (isStreaming()) {
            finishStream();
        } else {
            finishAnswer();
        }
    }

    @Override
    public void failed(ExchangeFailure failure) {
        if (finished) {
            return;
        }
        upstream.requestFailed(sentAt, inFlight.now());
        finish();
        boolean broke = failure == ExchangeFailure.BROKEN || failure == ExchangeFailure.CUT_SHORT;
        if (broke || failure == ExchangeFailure.NOT_CONNECTED) {
            inFlight.lostUpstreams().connectionLost(upstream);
        }
        if (failure == ExchangeFailure.NOT_CONNECTED) {
            inFlight.crashes().upstreamUnreachable(upstream);
        }
        if (failure.mayHaveArrived() && (answer == null || !answer.notRun())) {
            reportIncompleteRun(broke ? IncompleteRunCause.BROKE : IncompleteRunCause.GARBLED);
        }
        if (!failure.mayHaveArrived()) {
            forwarded.requeueUnsent("connection to upstream failed");
        } else if (answer != null && answer.notRun()) {
            forwarded.retryRejected(answer);
        } else {
            forwarded.handleAttemptFailure(
                    "upstream " + upstream.facts().id() + ": " + failure, true);
        }
    }

    private boolean isStreaming() {
        return forwarded.route().kind() == RouteKind.STREAMING && answer.isSuccess();
    }

    private void recordFirstByte() {
        lastReceivedAt = inFlight.now();
        if (firstByteReceived || answer.notRun()) {
            return;
        }
        firstByteReceived = true;
        if (answer.statements().asksForPause()) {
            // It has answered in good health; the pause alone keeps requests away.
            upstream.requestRejected(lastReceivedAt, Duration.ZERO);
            return;
        }
        boolean serverFailure =
                answer.status() >= MIN_SERVER_ERROR && answer.status() != GATEWAY_TIMEOUT;
        if (serverFailure) {
            upstream.requestFailed(sentAt, lastReceivedAt);
        } else {
            upstream.requestAnswered(Duration.between(sentAt, lastReceivedAt), lastReceivedAt);
            upstream.pause().requestAnswered(sentAt);
        }
    }

    private void forwardEvents(ByteBuf data) {
        if (!isTrusted()) {
            data.release();
            failInvalid("successful answer without the upstream's seal, or with an encoded body");
            return;
        }
        for (EventSplitter.StreamEvent event : splitter.add(data)) {
            if (finished) {
                event.bytes().release();
                continue;
            }
            forwarded.startStream(answer.status(), inFlight.dialect().toCaller(headers));
            forwarded.forwardEvent(event.bytes(), event.id());
        }
        if (!finished && splitter.holdsStatusLine()) {
            failInvalid("a second answer within the stream");
            return;
        }
        int mostBytes = inFlight.answerLimits().eventBytes();
        if (!finished && splitter.incompleteBytes() > mostBytes) {
            failInvalid("event of the stream is larger than " + mostBytes + " bytes");
        }
    }

    private void finishStream() {
        if (splitter.incompleteBytes() > 0 || !isTrusted()) {
            failInvalid("stream ended within an event, or without the upstream's seal");
            return;
        }
        finish();
        recordSurvivedRun();
        forwarded.startStream(answer.status(), inFlight.dialect().toCaller(headers));
        forwarded.endStream();
    }

    private void bufferBody(ByteBuf data) {
        if (body == null) {
            body = new AnswerBuffer(inFlight.bodies().answer());
        }
        if (!body.add(data)) {
            failForMemory();
            return;
        }
        int mostBytes = inFlight.answerLimits().bodyBytes();
        if (body.size() > mostBytes) {
            failInvalid("answer is larger than " + mostBytes + " bytes");
        } else if (body.isScattered()) {
            failInvalid("answer has too many parts for its size");
        }
    }

    private void finishAnswer() {
        if (answer.isSuccess() && !isTrusted()) {
            failInvalid("successful answer without the upstream's seal, or with an encoded body");
            return;
        }
        recordSurvivedRun();
        boolean serverError = answer.status() >= MIN_SERVER_ERROR;
        if (serverError && forwarded.mayRetryFailure()) {
            finish();
            forwarded.handleAttemptFailure("upstream answered " + answer.status(), true);
            return;
        }
        ByteBuf completeBody = body == null ? Unpooled.EMPTY_BUFFER : body.take();
        body = null;
        finish();
        if (impliesNotRun(answer.status())) {
            completeBody.release();
            forwarded.handleAttemptFailure("upstream answered " + answer.status(), false);
            return;
        }
        forwarded.forwardAnswer(
                answer.status(), inFlight.dialect().toCaller(headers), completeBody);
    }

    // Records that the upstream answered the request and so did not crash on it.
    private void recordSurvivedRun() {
        if (forwarded.call().over()) {
            return;
        }
        if (answer.isSuccess()) {
            inFlight.crashes().recordSuccess(forwarded.promptParts(), sentAt);
        }
        if (inFlight.crashes().needsOutcomes()) {
            inFlight.crashes().recordAnswer(forwarded.identity(), sentAt, answer.status());
        }
    }

    // These statuses tell a caller that its request has not run, which this upstream does not
    // confirm.
    private static boolean impliesNotRun(int status) {
        return status == 408 || status == 421 || status == 429 || status == 503;
    }

    private boolean isTrusted() {
        return answer.sealed() && !answer.contentEncoded();
    }

    private void failInvalid(String reason) {
        LOG.warn(
                "answer rejected request={} upstream={} reason={}",
                forwarded.request().attemptId(),
                upstream.facts().id(),
                reason);
        upstream.requestFailed(sentAt, inFlight.now());
        reportIncompleteRun(IncompleteRunCause.GARBLED);
        finish();
        call.cancel();
        forwarded.handleAttemptFailure(reason, true);
    }

    // The upstream is sound as far as is known. It has run the request, and another answer to it
    // would need as much memory.
    private void failForMemory() {
        reportIncompleteRun(IncompleteRunCause.GARBLED);
        abandon();
        call.cancel();
        forwarded.handleAttemptFailure("no memory for the answer", false);
    }

    private void releaseBody() {
        if (body != null) {
            body.release();
            body = null;
        }
    }

    private void finish() {
        finished = true;
        splitter.clear();
        releaseBody();
        if (!sent) {
            upstream.requestNotSent();
        }
        upstream.requestFinished(forwarded.model().orElse(null), forwarded.tokenUsage());
        upstream.pause().requestFinished(sentAt);
        inFlight.sendQueued(forwarded.service());
    }
}
