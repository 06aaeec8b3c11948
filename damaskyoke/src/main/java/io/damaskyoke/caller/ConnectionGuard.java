package io.damaskyoke.caller;

import io.damaskyoke.exchange.Refusal;
import io.damaskyoke.exchange.RefusalCode;
import java.time.Duration;
import org.apache.pekko.Done;
import org.apache.pekko.http.javadsl.model.HttpEntity;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.stream.Attributes;
import org.apache.pekko.stream.BidiShape;
import org.apache.pekko.stream.Inlet;
import org.apache.pekko.stream.Outlet;
import org.apache.pekko.stream.stage.AbstractInHandler;
import org.apache.pekko.stream.stage.AbstractOutHandler;
import org.apache.pekko.stream.stage.AsyncCallback;
import org.apache.pekko.stream.stage.GraphStage;
import org.apache.pekko.stream.stage.GraphStageLogic;
import org.apache.pekko.stream.stage.TimerGraphStageLogic;
import org.apache.pekko.util.ByteString;

/**
 * Sits between the socket and the HTTP parser of one connection, for what the parser has no answer
 * to.
 *
 * <ul>
 *   <li>A head that trickles in holds a connection for ever. From its first byte it has the header
 *       timeout to be complete, however many bytes come meanwhile; then the caller gets a 408.
 *   <li>A caller that closes its sending side may still read, or may be gone; both look the same.
 *       While its request waits it gets {@code 102 Processing} now and then (HTTP/1.0 callers
 *       don't): a live caller skips that, the system of a dead one resets the connection, and the
 *       request is cancelled.
 *   <li>A failed answer would reset the connection, and the reset can overtake the error event
 *       before it. So the connection is closed in order, but without the last chunk, which tells
 *       the caller as well. Only where the end of the connection is the end of the answer, as in
 *       HTTP/1.0, is it reset.
 * </ul>
 */
final class ConnectionGuard
        extends GraphStage<BidiShape<ByteString, ByteString, ByteString, ByteString>> {
    private static final Duration KEEP_ALIVE = Duration.ofSeconds(60);
    private static final Duration MAX_PROBE_PAUSE = Duration.ofSeconds(16);
    private static final ByteString PROBE =
            ByteString.fromString("HTTP/1.1 102 Processing\r\n\r\n");

    private final Inlet<ByteString> netIn = Inlet.create("guard.netIn");
    private final Outlet<ByteString> httpOut = Outlet.create("guard.httpOut");
    private final Inlet<ByteString> httpIn = Inlet.create("guard.httpIn");
    private final Outlet<ByteString> netOut = Outlet.create("guard.netOut");
    private final ConnectionState state;
    private final Duration headerTimeout;
    private final Duration firstProbe;

    ConnectionGuard(ConnectionState state, Duration headerTimeout, Duration firstProbe) {
        this.state = state;
        this.headerTimeout = headerTimeout;
        this.firstProbe = firstProbe;
    }

    @Override
    public BidiShape<ByteString, ByteString, ByteString, ByteString> shape() {
        return new BidiShape<>(httpIn, netOut, netIn, httpOut);
    }

    @Override
    public GraphStageLogic createLogic(Attributes attributes) {
        return new Logic();
    }

    private enum Timer {
        HEADER,
        KEEP_ALIVE,
        PROBE
    }

    private final class Logic extends TimerGraphStageLogic {
        private Duration pause = firstProbe;
        private boolean fresh = true;
        private boolean used;

        Logic() {
            super(ConnectionGuard.this.shape());
            setHandler(netIn, new FromCaller());
            setHandler(httpOut, new ToParser());
            setHandler(httpIn, new FromRenderer());
            setHandler(netOut, new ToCaller());
        }

        @Override
        public void preStart() {
            scheduleOnce(Timer.HEADER, headerTimeout);
            scheduleWithFixedDelay(Timer.KEEP_ALIVE, KEEP_ALIVE, KEEP_ALIVE);
            AsyncCallback<Done> stop = createAsyncCallback(done -> stopReading());
            state.onDrained(() -> stop.invoke(Done.getInstance()));
        }

        /** Both directions are over, so nobody waits any more for what is still open. */
        @Override
        public void postStop() {
            state.close();
        }

        @Override
        public void onTimer(Object timer) {
            switch ((Timer) timer) {
                case HEADER -> headerTimeout();
                case KEEP_ALIVE -> closeIfUnused();
                case PROBE -> probe();
                default -> throw new IllegalStateException("no such timer: " + timer);
            }
        }

        private void headerTimeout() {
            if (state.reading()) {
                refuseSlowHead();
            } else if (fresh) {
                completeStage();
            }
        }

        /**
         * An outlet that waits for an element proves that the renderer has none, so the refusal
         * can't land in the middle of the answer before.
         */
        private void refuseSlowHead() {
            if (isAvailable(netOut)) {
                push(netOut, SlowHead.RESPONSE);
            }
            completeStage();
        }

        /** The parser then sees the end of the input, and still answers what it has. */
        private void stopReading() {
            complete(httpOut);
        }

        private void closeIfUnused() {
            if (!used && state.idle()) {
                completeStage();
            }
            used = false;
        }

        private void probe() {
            if (state.onlyWaiting() && !state.endsByClose() && isAvailable(netOut)) {
                push(netOut, PROBE);
            }
            scheduleOnce(Timer.PROBE, pause);
            pause = min(pause.multipliedBy(2), MAX_PROBE_PAUSE);
        }

        private final class FromCaller extends AbstractInHandler {
            /** Bytes that cross our stop belong to a request that no longer gets an answer. */
            @Override
            public void onPush() {
                ByteString bytes = grab(netIn);
                if (isClosed(httpOut)) {
                    return;
                }
                fresh = false;
                used = true;
                if (state.received()) {
                    scheduleOnce(Timer.HEADER, headerTimeout);
                }
                push(httpOut, bytes);
            }

            @Override
            public void onUpstreamFinish() {
                complete(httpOut);
                probe();
            }
        }

        private final class ToParser extends AbstractOutHandler {
            @Override
            public void onPull() {
                pull(netIn);
            }

            @Override
            public void onDownstreamFinish(Throwable cause) {
                cancel(netIn, cause);
            }
        }

        private final class FromRenderer extends AbstractInHandler {
            @Override
            public void onPush() {
                used = true;
                push(netOut, grab(httpIn));
            }

            @Override
            public void onUpstreamFinish() {
                complete(netOut);
            }

            @Override
            public void onUpstreamFailure(Throwable failure) {
                if (state.endsByClose()) {
                    failStage(failure);
                } else {
                    completeStage();
                }
            }
        }

        private final class ToCaller extends AbstractOutHandler {
            @Override
            public void onPull() {
                if (!hasBeenPulled(httpIn) && !isClosed(httpIn)) {
                    pull(httpIn);
                }
            }

            @Override
            public void onDownstreamFinish(Throwable cause) {
                cancelStage(cause);
            }
        }
    }

    private static Duration min(Duration a, Duration b) {
        return a.compareTo(b) < 0 ? a : b;
    }

    /** The refusal of a slow head as it goes over the wire. */
    private static final class SlowHead {
        private static final HttpResponse REFUSAL =
                AnswerWriter.refusal(
                        Refusal.notRun(
                                RefusalCode.REQUEST_TIMEOUT, "the request took too long to come"));
        static final ByteString RESPONSE = rendered();

        private static ByteString rendered() {
            ByteString body = ((HttpEntity.Strict) REFUSAL.entity()).getData();
            String head =
                    "HTTP/1.1 408 Request Timeout\r\nContent-Type: application/json\r\n"
                            + "Connection: close\r\nContent-Length: "
                            + body.size()
                            + "\r\n\r\n";
            return ByteString.fromString(head).concat(body);
        }
    }
}
