package io.damaskyoke.peer;

import io.damaskyoke.exchange.Refusal;
import io.damaskyoke.exchange.RefusalCode;
import io.damaskyoke.exchange.Request;
import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.peer.wire.ExchangeId;
import io.damaskyoke.peer.wire.Frame;
import io.damaskyoke.peer.wire.Load;
import io.damaskyoke.peer.wire.Refused;
import java.time.InstantSource;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.pekko.stream.Materializer;

/**
 * Receives requests over peer links and passes each to the handler exactly once.
 *
 * <p>{@code network.addListener(ExchangeServer.of(handler, clock, materializer, metrics))}
 */
public final class ExchangeServer implements PeerListener {
    private static final Logger LOG = LogManager.getLogger(ExchangeServer.class);

    private final ExchangeHandler handler;
    private final InstantSource clock;
    private final Materializer materializer;
    private final Metrics metrics;
    private final ConcurrentMap<ExchangeId, ServedExchange> running = new ConcurrentHashMap<>();
    private final EndedExchanges endedExchanges = new EndedExchanges();

    private ExchangeServer(
            ExchangeHandler handler,
            InstantSource clock,
            Materializer materializer,
            Metrics metrics) {
        this.handler = Objects.requireNonNull(handler, "handler");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.materializer = Objects.requireNonNull(materializer, "materializer");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
    }

    /** Creates a server; register it as a listener of the network whose requests it receives. */
    public static ExchangeServer of(
            ExchangeHandler handler,
            InstantSource clock,
            Materializer materializer,
            Metrics metrics) {
        return new ExchangeServer(handler, clock, materializer, metrics);
    }

    /** Returns the number of running exchanges. */
    public int running() {
        return running.size();
    }

    @Override
    public void received(PeerLink link, Frame frame) {
        switch (frame.getKindCase()) {
            case INVOKE -> invoked(link, frame);
            case CREDIT, CANCEL -> forward(link, frame);
            default -> {}
        }
    }

    @Override
    public void closed(PeerLink link) {
        running.values().forEach(exchange -> exchange.linkClosed(link));
    }

    private void invoked(PeerLink link, Frame frame) {
        ServedExchange exchange;
        try {
            exchange = decode(link, frame);
        } catch (IllegalArgumentException e) {
            metrics.count("exchange_malformed");
            refuseMalformed(link, frame.getExchange(), malformed(e.getMessage()));
            return;
        }
        if (registerIfNew(link, exchange)) {
            handle(exchange);
        }
    }

    /**
     * Returns true if the exchange is new, else refuses the duplicate.
     *
     * <p>Running exchanges are looked up before ended ones, and an exchange is recorded as ended
     * before it is removed from the running ones, so at no moment is it in neither.
     */
    private boolean registerIfNew(PeerLink link, ServedExchange exchange) {
        ServedExchange first = running.putIfAbsent(exchange.id(), exchange);
        if (first != null) {
            metrics.count("exchange_doubled");
            if (first.link() != link) {
                refuse(link, exchange.id(), duplicate());
            }
            return false;
        }
        Optional<Optional<Refused>> before = endedExchanges.find(exchange.id());
        if (before.isEmpty()) {
            return true;
        }
        running.remove(exchange.id(), exchange);
        metrics.count("exchange_doubled");
        refuse(link, exchange.id(), before.get().orElseGet(ExchangeServer::duplicate));
        return false;
    }

    /** Refuses an invocation that can't be read; as not run only if no other one had its id. */
    private void refuseMalformed(PeerLink link, ExchangeId id, Refused malformed) {
        ServedExchange first = running.get(id);
        if (first == null && endedExchanges.find(id).isEmpty()) {
            refuse(link, id, malformed);
        } else if (first == null || first.link() != link) {
            refuse(link, id, duplicate());
        }
    }

    private void handle(ServedExchange exchange) {
        exchange.cancelIfLinkClosed();
        try {
            handler.handle(exchange);
        } catch (RuntimeException e) {
            LOG.error(
                    "exchange handler failed for request {}, refusing the request",
                    exchange.request().id(),
                    e);
            metrics.count("exchange_handler_failed");
            exchange.refuse(
                    Refusal.mayHaveRun(RefusalCode.INTERNAL, "the agent failed"),
                    Load.getDefaultInstance());
        }
    }

    private void forward(PeerLink link, Frame frame) {
        ServedExchange exchange = running.get(frame.getExchange());
        if (exchange == null) {
            metrics.count("exchange_frames_dropped", "reason", "unknown");
        } else {
            exchange.received(link, frame);
        }
    }

    private ServedExchange decode(PeerLink link, Frame frame) {
        Request request =
                InvokeCodec.toRequest(
                        InvokeCodec.fromWire(frame.getExchange()),
                        frame.getInvoke(),
                        clock.instant());
        if (frame.getSequence() != 0) {
            throw new IllegalArgumentException("an invocation must be frame 0 of its exchange");
        }
        return new ServedExchange(frame, request, link, materializer, metrics, this::ended);
    }

    private void ended(ServedExchange exchange) {
        endedExchanges.ended(exchange.id(), exchange.wholeRefusal());
        running.remove(exchange.id(), exchange);
    }

    private static void refuse(PeerLink link, ExchangeId id, Refused refused) {
        link.send(Frame.newBuilder().setExchange(id).setRefused(refused).build());
    }

    private static Refused malformed(String message) {
        Refusal refusal = Refusal.notRun(RefusalCode.MALFORMED_REQUEST, message);
        return RefusalCodec.toWire(refusal, Load.getDefaultInstance());
    }

    private static Refused duplicate() {
        Refusal refusal =
                Refusal.mayHaveRun(
                        RefusalCode.OUTCOME_UNKNOWN, "this request has been taken here before");
        return RefusalCodec.toWire(refusal, Load.getDefaultInstance());
    }
}
