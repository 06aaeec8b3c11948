package io.damaskyoke.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.platform.EtcdCalls.Kind;
import io.damaskyoke.platform.PlatformException.Code;
import io.damaskyoke.timeline.Timeline;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.actor.ClassicActorSystemProvider;

/**
 * The platform's key-value service by the etcd v3 JSON gateway.
 *
 * <pre>{@code
 * KeyValueStore store =
 *         EtcdStore.builder(system)
 *                 .endpoints(List.of(URI.create("http://127.0.0.1:2379")))
 *                 .timeout(Duration.ofSeconds(2))
 *                 .build();
 * store.read("/damaskyoke/config/head").thenAccept(entry -> ...);
 * }</pre>
 *
 * <p>Several endpoints are tried in turn; a write goes to the next one only if it surely never
 * reached the one before. Calls are counted as {@code store_calls} and {@code store_failures}.
 */
public final class EtcdStore implements WatchedStore {
    /** What the service takes in one transaction, unless it was set up otherwise. */
    public static final int MAX_OPERATIONS = 128;

    private final ActorSystem system;
    private final StoreHealth health;
    private final EtcdCalls calls;
    private final Set<Watch> watches = ConcurrentHashMap.newKeySet();

    private EtcdStore(Builder builder) {
        system = builder.system;
        health = new StoreHealth(builder.metrics, builder.timeline);
        calls =
                new EtcdCalls(
                        system, builder.endpoints, builder.timeout, builder.connections, health);
    }

    /** Begins a store whose client runs on this actor system. */
    public static Builder builder(ClassicActorSystemProvider system) {
        return new Builder(system);
    }

    @Override
    public CompletionStage<Optional<Entry>> read(String key) {
        return calls.call("range", Kind.REPEATABLE, "/v3/kv/range", EtcdJson.range(checked(key)))
                .thenApply(answer -> EtcdJson.listing(answer).entries().stream().findFirst());
    }

    @Override
    public CompletionStage<Listing> list(String prefix) {
        return calls.call(
                        "range", Kind.REPEATABLE, "/v3/kv/range", EtcdJson.prefix(checked(prefix)))
                .thenApply(EtcdJson::listing);
    }

    @Override
    public CompletionStage<Listing> range(String from, String to, int limit) {
        if (limit < 1) {
            throw new IllegalArgumentException("limit must be at least 1: " + limit);
        }
        JsonNode body = EtcdJson.range(checked(from), checked(to), limit);
        return calls.call("range", Kind.REPEATABLE, "/v3/kv/range", body)
                .thenApply(EtcdJson::listing);
    }

    @Override
    public CompletionStage<TxnResult> commit(List<Condition> conditions, List<Write> writes) {
        if (conditions.size() > MAX_OPERATIONS || writes.size() > MAX_OPERATIONS) {
            throw new IllegalArgumentException(
                    "a commit takes at most " + MAX_OPERATIONS + " conditions and writes");
        }
        return calls.call("txn", Kind.WRITE, "/v3/kv/txn", EtcdJson.txn(conditions, writes))
                .thenApply(EtcdJson::txnResult);
    }

    @Override
    public CompletionStage<Long> grantLease(Duration ttl) {
        if (ttl.toSeconds() < 1) {
            throw new IllegalArgumentException("a lease lasts at least a second: " + ttl);
        }
        JsonNode body = EtcdJson.object().put("TTL", Long.toString(ttl.toSeconds()));
        return calls.call("lease_grant", Kind.WRITE, "/v3/lease/grant", body)
                .thenApply(EtcdStore::leaseId);
    }

    @Override
    public CompletionStage<Boolean> keepAlive(long lease) {
        return calls.call("lease_keepalive", Kind.REPEATABLE, "/v3/lease/keepalive", id(lease))
                .thenApply(EtcdStore::alive);
    }

    @Override
    public CompletionStage<Void> revokeLease(long lease) {
        return calls.call("lease_revoke", Kind.WRITE, "/v3/lease/revoke", id(lease))
                .thenApply(answer -> null);
    }

    @Override
    public Watch watch(String prefix, long fromRevision, WatchListener listener) {
        Objects.requireNonNull(listener, "listener");
        health.called("watch");
        URI endpoint = calls.endpoint();
        Watch watch =
                EtcdWatch.open(
                        system,
                        endpoint,
                        EtcdJson.watch(checked(prefix), fromRevision),
                        listener,
                        () -> calls.failed(endpoint));
        watches.add(watch);
        return () -> {
            watches.remove(watch);
            watch.close();
        };
    }

    /** Closes the watches. Calls under way end within their time limit. */
    @Override
    public boolean up() {
        return health.up();
    }

    @Override
    public void close() {
        watches.forEach(Watch::close);
        watches.clear();
    }

    private static JsonNode id(long lease) {
        return EtcdJson.object().put("ID", Long.toString(lease));
    }

    private static long leaseId(JsonNode answer) {
        long id = answer.path("ID").asLong(0);
        if (id == 0) {
            throw new PlatformException(Code.BAD_ANSWER, "the store granted a lease without an id");
        }
        return id;
    }

    private static boolean alive(JsonNode answer) {
        if (!answer.has("result")) {
            throw new PlatformException(Code.BAD_ANSWER, "the store's answer has no result");
        }
        return answer.path("result").path("TTL").asLong(0) > 0;
    }

    private static String checked(String key) {
        if (key == null || key.isEmpty()) {
            throw new IllegalArgumentException("a key must not be empty");
        }
        return key;
    }

    /** Puts an {@link EtcdStore} together. */
    public static final class Builder {
        private final ActorSystem system;
        private List<URI> endpoints = List.of();
        private Duration timeout = Duration.ofSeconds(2);
        private int connections = 8;
        private Metrics metrics = new Metrics();
        private Timeline timeline;

        private Builder(ClassicActorSystemProvider system) {
            this.system = system.classicSystem();
        }

        /** Where the service is, as {@code http://host:port}; at least one. */
        public Builder endpoints(List<URI> value) {
            for (URI endpoint : value) {
                if (endpoint.getHost() == null) {
                    throw new IllegalArgumentException("endpoint has no host: " + endpoint);
                }
            }
            endpoints = List.copyOf(value);
            return this;
        }

        /** How long one call may take, all endpoints together; 2 s if not set. */
        public Builder timeout(Duration value) {
            if (value.isNegative() || value.isZero()) {
                throw new IllegalArgumentException("timeout must be positive: " + value);
            }
            timeout = value;
            return this;
        }

        /**
         * How many calls to each endpoint run at once, each on a connection of its own; 8 if not
         * set. Watches are not counted.
         */
        public Builder connections(int value) {
            if (value < 1) {
                throw new IllegalArgumentException("connections must be at least 1: " + value);
            }
            connections = value;
            return this;
        }

        /** Where calls are counted. */
        public Builder metrics(Metrics value) {
            metrics = Objects.requireNonNull(value, "metrics");
            return this;
        }

        /** Where the store's going and coming is written down. */
        public Builder timeline(Timeline value) {
            timeline = Objects.requireNonNull(value, "timeline");
            return this;
        }

        /** The store; no connection is made before the first call. */
        public EtcdStore build() {
            if (endpoints.isEmpty()) {
                throw new IllegalArgumentException("at least one endpoint is needed");
            }
            Objects.requireNonNull(timeline, "timeline");
            return new EtcdStore(this);
        }
    }
}
