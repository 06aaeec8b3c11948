package io.damaskyoke.peer;

import io.damaskyoke.exchange.Request;
import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.peer.wire.ExchangeId;
import io.damaskyoke.peer.wire.Frame;
import io.damaskyoke.peer.wire.Invoke;
import io.damaskyoke.settings.PeerSettings;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.function.LongSupplier;

/**
 * Sends requests to agents over peer links and matches the answer frames to them.
 *
 * <p>{@code network.addListener(client); client.invoke(link, request, timeLeft).result()}
 */
public final class ExchangeClient implements PeerListener {
    private final int creditBytes;
    private final LongSupplier configSequence;
    private final Metrics metrics;
    private final ConcurrentMap<ExchangeId, OutgoingExchange> running = new ConcurrentHashMap<>();

    private ExchangeClient(int creditBytes, LongSupplier configSequence, Metrics metrics) {
        this.creditBytes = creditBytes;
        this.configSequence = configSequence;
        this.metrics = metrics;
    }

    /** Creates a client; register it as a listener of the network whose links it uses. */
    public static ExchangeClient of(
            PeerSettings settings, LongSupplier configSequence, Metrics metrics) {
        if (settings.creditBytes() < 1) {
            throw new IllegalArgumentException(
                    "creditBytes must be at least 1: " + settings.creditBytes());
        }
        return new ExchangeClient(
                settings.creditBytes(),
                Objects.requireNonNull(configSequence, "configSequence"),
                Objects.requireNonNull(metrics, "metrics"));
    }

    /**
     * Sends the request. An agent accepts an id only once: after {@code Refused} or {@code Lost},
     * the request can't be sent to the same process again under the same id.
     *
     * @param timeLeft the time that remains until the deadline
     * @throws IllegalArgumentException if a request with this id is running
     */
    public Exchange invoke(PeerLink link, Request request, Duration timeLeft) {
        ExchangeId id = InvokeCodec.toWire(request.id());
        Invoke invoke =
                InvokeCodec.toInvoke(request, timeLeft, creditBytes, configSequence.getAsLong());
        OutgoingExchange exchange =
                new OutgoingExchange(id, link, creditBytes, metrics, this::forget);
        if (running.putIfAbsent(id, exchange) != null) {
            throw new IllegalArgumentException(
                    "an exchange with this id is already running: " + request.id());
        }
        exchange.begin(invoke);
        return exchange;
    }

    /** Returns the number of running exchanges. */
    public int running() {
        return running.size();
    }

    @Override
    public void received(PeerLink link, Frame frame) {
        if (!isAnswerFrame(frame)) {
            return;
        }
        OutgoingExchange exchange = running.get(frame.getExchange());
        if (exchange == null) {
            metrics.count("exchange_frames_dropped", "reason", "unknown");
        } else {
            exchange.received(link, frame);
        }
    }

    @Override
    public void closed(PeerLink link) {
        running.values().forEach(exchange -> exchange.linkClosed(link));
    }

    private static boolean isAnswerFrame(Frame frame) {
        return switch (frame.getKindCase()) {
            case STARTED, CHUNK, END, REFUSED -> true;
            default -> false;
        };
    }

    private void forget(OutgoingExchange exchange) {
        running.remove(exchange.id(), exchange);
    }
}
