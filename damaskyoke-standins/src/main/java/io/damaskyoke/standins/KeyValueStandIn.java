package io.damaskyoke.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.time.InstantSource;
import java.util.LinkedHashSet;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/**
 * Stands in for the platform's key-value service: the JSON gateway of etcd v3 over a store in
 * memory.
 *
 * <p>Leases go on lapsing by the clock during an outage. A txn counts as a write if it holds a put
 * or a deletion in either branch; a keepalive counts as a read.
 */
public final class KeyValueStandIn implements AutoCloseable {
    private static final int MAX_REQUEST_BYTES = 1_500_000;
    private static final int HISTORY_EVENTS = 10_000;
    private static final long HISTORY_BYTES = 8L << 20;
    private static final Duration LEASE_CHECK = Duration.ofMillis(50);

    private final KeyValueStore store;
    private final KeyValueGateway gateway;
    private final Set<KeyValueWatch> watches = new LinkedHashSet<>();
    private final StandInServer server;
    private boolean closed;

    private KeyValueStandIn(InstantSource clock, int historyEvents) {
        store = new KeyValueStore(clock, historyEvents, HISTORY_BYTES);
        gateway = new KeyValueGateway(store);
        server = new StandInServer(this::handle, KeyValueStandIn::isWrite, this::pump);
    }

    public static KeyValueStandIn start(int port, InstantSource clock) {
        return start(port, clock, HISTORY_EVENTS);
    }

    /** Starts one that keeps the last {@code historyEvents} events for watches. */
    public static KeyValueStandIn start(int port, InstantSource clock, int historyEvents) {
        Objects.requireNonNull(clock, "clock");
        if (historyEvents < 1) {
            throw new IllegalArgumentException("The history must hold at least one event");
        }
        KeyValueStandIn standIn = new KeyValueStandIn(clock, historyEvents);
        standIn.server.bind(port);
        standIn.checkLeases();
        return standIn;
    }

    public int port() {
        return server.port();
    }

    public String url() {
        return server.url();
    }

    public void setFault(Fault fault) {
        server.setFault(fault);
    }

    public synchronized long revision() {
        return store.revision();
    }

    /** What {@code GET /calls} gives. */
    public JsonNode calls() {
        return server.calls();
    }

    @Override
    public void close() {
        synchronized (this) {
            closed = true;
        }
        server.close();
    }

    private static boolean isWrite(Call call) {
        switch (call.path()) {
            case "/v3/kv/put":
            case "/v3/kv/deleterange":
            case "/v3/lease/grant":
            case "/v3/lease/revoke":
            case "/v3/kv/lease/revoke":
                return true;
            case "/v3/kv/txn":
                return isWritingTxn(call);
            default:
                return false;
        }
    }

    private static boolean isWritingTxn(Call call) {
        try {
            return KeyValueGateway.isWrite(call.json());
        } catch (StandInException rubbish) {
            return false;
        }
    }

    private synchronized CompletionStage<HttpResponse> handle(Call call) {
        if (!call.method().equals("POST")) {
            throw call.notFound();
        }
        if (call.body().length > MAX_REQUEST_BYTES) {
            throw StandInException.badRequest("etcdserver: request is too large");
        }
        store.expire();
        JsonNode request = call.json();
        HttpResponse answer =
                call.path().equals("/v3/watch")
                        ? watch(request, call.connection())
                        : Json.answer(answer(call, request));
        pump();
        return CompletableFuture.completedFuture(answer);
    }

    private ObjectNode answer(Call call, JsonNode request) {
        switch (call.path()) {
            case "/v3/kv/range":
                return gateway.range(request);
            case "/v3/kv/put":
                return gateway.put(request);
            case "/v3/kv/deleterange":
                return gateway.deleteRange(request);
            case "/v3/kv/txn":
                return gateway.txn(request);
            case "/v3/lease/grant":
                return gateway.grant(request);
            case "/v3/lease/revoke":
            case "/v3/kv/lease/revoke":
                return gateway.revoke(request);
            case "/v3/lease/keepalive":
                return gateway.keepAlive(request);
            case "/v3/lease/timetolive":
            case "/v3/kv/lease/timetolive":
                return gateway.timeToLive(request);
            default:
                throw call.notFound();
        }
    }

    private HttpResponse watch(JsonNode request, Connection connection) {
        JsonNode create = KeyValueGateway.field(request, "create_request");
        if (!create.isObject()) {
            throw StandInException.badRequest("A watch starts with a create_request");
        }
        KeyValueWatch watch =
                new KeyValueWatch(create, store, gateway, connection, server.runtime());
        watches.add(watch);
        connection.markWatching(true);
        connection.onClose(() -> forget(watch));
        return HttpResponse.create()
                .withEntity(
                        HttpEntities.createChunked(
                                ContentTypes.APPLICATION_JSON, watch.messages()));
    }

    private synchronized void forget(KeyValueWatch watch) {
        if (watches.remove(watch)) {
            watch.close();
        }
    }

    private void pump() {
        Fault fault = server.fault();
        if (fault.mode() == Fault.Mode.SLOW) {
            server.runtime().after(fault.delay(), this::pumpNow);
        } else if (fault.mode() != Fault.Mode.HANG) {
            pumpNow();
        }
    }

    private synchronized void pumpNow() {
        watches.forEach(KeyValueWatch::pump);
    }

    private synchronized void checkLeases() {
        if (closed) {
            return;
        }
        long before = store.revision();
        store.expire();
        if (store.revision() != before) {
            pump();
        }
        server.runtime().after(LEASE_CHECK, this::checkLeases);
    }
}
