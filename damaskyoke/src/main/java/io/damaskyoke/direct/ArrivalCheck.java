package io.damaskyoke.direct;

import io.damaskyoke.control.direct.EngineSpec;
import io.damaskyoke.control.direct.ModelSpec;
import io.damaskyoke.control.direct.ServiceSpec;
import io.damaskyoke.control.upstreams.ModelRef;
import io.damaskyoke.control.upstreams.Upstream;
import io.damaskyoke.control.waiting.ArrivalRefusals;
import io.damaskyoke.control.waiting.WaitForecast;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Decides at arrival whether a request for a model that no upstream holds is worth queueing. It
 * applies to services whose models do not fit into their upstreams together. Traffic thread only.
 */
final class ArrivalCheck {
    /** The predicted wait of a request with little time left can be too short for a retry. */
    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(200);

    private static final Duration EXPIRE_PERIOD = Duration.ofSeconds(1);

    /** The time of a load where no upstream can load the model. */
    private static final Duration FOREVER = Duration.ofDays(365);

    private final WaitForecast forecast = new WaitForecast();
    private final ArrivalRefusals refusals = new ArrivalRefusals();
    private final Map<String, EngineSpec> engines = new HashMap<>();
    private final Map<String, Double> modelsMb = new HashMap<>();
    private Consumer<Reason> onRefused = any -> {};
    private Instant expireAt = Instant.MIN;

    /** Why the model of a refused request is not expected in time. */
    enum Reason {
        /** An upstream has a copy of the model but has to load it. */
        MODEL_UNAVAILABLE("model_unavailable"),
        /** The model has to be loaded from the weight store. */
        STORE_LOAD("store_load"),
        /** An upstream holds the model but has asked for a pause. */
        PAUSED("paused");

        private final String label;

        Reason(String label) {
            this.label = label;
        }

        String label() {
            return label;
        }
    }

    private record Load(Duration time, Reason reason) {}

    /** Sets the action that runs for each refusal. */
    void onRefused(Consumer<Reason> action) {
        onRefused = action;
    }

    /** Sets the services whose upstreams are model engines. */
    void setEngineServices(List<ServiceSpec> services) {
        engines.clear();
        modelsMb.clear();
        for (ServiceSpec service : services) {
            EngineSpec engine = service.engine().orElseThrow();
            engines.put(service.name(), engine);
            double sum = engine.models().values().stream().mapToDouble(ModelSpec::weightsMb).sum();
            modelsMb.put(service.name(), sum);
        }
    }

    /**
     * Returns true if the service's models do not fit into its upstreams together.
     *
     * @param upstreams number of the service's upstreams
     */
    boolean appliesTo(String service, int upstreams) {
        EngineSpec engine = engines.get(service);
        return engine != null
                && upstreams > 0
                && modelsMb.get(service) > engine.weightsMb() * upstreams;
    }

    /**
     * Returns when to retry a request that is to be refused now; empty if it is to be queued.
     *
     * @param candidates the upstreams that may run the request; none of them holds the model
     * @param oldestQueuedAt since when the oldest request for the model has been queued, if any is
     */
    Optional<Duration> refusal(
            PendingRequest request,
            List<Upstream> candidates,
            Optional<Instant> oldestQueuedAt,
            Instant now) {
        ModelRef model = request.model().orElseThrow();
        Optional<Load> load = nearestLoad(request.service(), model, candidates, now);
        if (load.isEmpty()) {
            return Optional.empty();
        }
        Duration wait = forecast.expectedWait(model, load.get().time(), oldestQueuedAt, now);
        if (!now.plus(wait).isAfter(request.queueDeadline())) {
            refusals.recordInTime(model);
            return Optional.empty();
        }
        if (!refusals.refuses(model, wait, now)) {
            return Optional.empty();
        }
        onRefused.accept(load.get().reason());
        return Optional.of(wait.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : wait);
    }

    /** Records that a request for the model waited until it was sent or refused. */
    void recordWait(ModelRef model, Duration wait, Instant now) {
        forecast.recordWait(model, wait, now);
    }

    /** Records that a request came for a model that an upstream holds. */
    void recordHeld(ModelRef model) {
        refusals.recordInTime(model);
    }

    /** Ends refusals that no longer occur; called several times a second. */
    void tick(Instant now) {
        if (!now.isBefore(expireAt)) {
            expireAt = now.plus(EXPIRE_PERIOD);
            refusals.expire(now);
        }
    }

    /**
     * Returns how long it takes until an upstream that accepts requests has loaded the model; empty
     * if that is not known or nothing has to be loaded.
     */
    Optional<Duration> loadTimeUnlessPaused(
            String service, ModelRef model, List<Upstream> candidates, Instant now) {
        boolean anyAccepts = candidates.stream().anyMatch(each -> each.accepts(now));
        if (!engines.containsKey(service) || !anyAccepts) {
            return Optional.of(FOREVER);
        }
        return nearestLoad(service, model, candidates, now).map(Load::time);
    }

    // Empty if the model is unknown, or if it is held and only its adapter has to be loaded, as
    // nothing is known of the time that an adapter takes.
    private Optional<Load> nearestLoad(
            String service, ModelRef model, List<Upstream> candidates, Instant now) {
        ModelSpec spec = engines.get(service).models().get(model.model());
        if (spec == null) {
            return Optional.empty();
        }
        Load nearest = new Load(spec.storeLoadTime(), Reason.STORE_LOAD);
        for (Upstream upstream : candidates) {
            if (!upstream.accepts(now)) {
                nearest = shorter(nearest, pauseAtHolder(upstream, model, now));
                continue;
            }
            if (upstream.held().contains(model.base())) {
                return Optional.empty();
            }
            nearest = shorter(nearest, localLoad(upstream, spec));
        }
        return Optional.of(nearest);
    }

    private static Optional<Load> pauseAtHolder(Upstream upstream, ModelRef model, Instant now) {
        boolean paused = upstream.isOpen(now) && upstream.pause().isPaused(now);
        if (!paused || !upstream.held().contains(model)) {
            return Optional.empty();
        }
        Duration left = Duration.between(now, upstream.pause().pausedUntil());
        return Optional.of(new Load(left, Reason.PAUSED));
    }

    private static Optional<Load> localLoad(Upstream upstream, ModelSpec spec) {
        if (upstream.facts().inMemory().contains(spec.name())) {
            return Optional.of(new Load(spec.memoryLoadTime(), Reason.MODEL_UNAVAILABLE));
        }
        return upstream.facts().onDisk().contains(spec.name())
                ? Optional.of(new Load(spec.diskLoadTime(), Reason.MODEL_UNAVAILABLE))
                : Optional.empty();
    }

    private static Load shorter(Load one, Optional<Load> other) {
        return other.filter(load -> load.time().compareTo(one.time()) < 0).orElse(one);
    }
}
