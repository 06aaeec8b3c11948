package io.damaskyoke.direct;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.control.direct.DirectConfiguration;
import io.damaskyoke.control.direct.EngineSpec;
import io.damaskyoke.control.direct.ServiceSpec;
import io.damaskyoke.control.loads.LoadAction;
import io.damaskyoke.control.loads.LoadInput;
import io.damaskyoke.control.loads.LoadPlanner;
import io.damaskyoke.control.loads.LoadSettings;
import io.damaskyoke.control.loads.OrderOutcome;
import io.damaskyoke.control.loads.UnansweredLoadOrder;
import io.damaskyoke.control.loads.UnmetDemand;
import io.damaskyoke.control.upstreams.HeldModels;
import io.damaskyoke.control.upstreams.Upstream;
import io.damaskyoke.control.upstreams.UpstreamFacts;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.control.upstreams.UpstreamTable;
import io.damaskyoke.id.VmId;
import io.damaskyoke.metrics.Metrics;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Runs the {@link LoadPlanner} while this router is the leader: passes it its inputs, and carries
 * out its actions, such as orders to load and unload models. Control thread only.
 */
final class LoadCoordinator implements LeaderLease.Listener {
    private static final Logger LOG = LogManager.getLogger(LoadCoordinator.class);
    private static final Duration TICK = Duration.ofMillis(20);

    private static final Duration EXPLAIN_PERIOD = Duration.ofSeconds(1);
    private static final Duration LONG_WAIT = Duration.ofMillis(800);
    private static final int MAX_EXPLAINED = 4;

    /**
     * Changes of held models within this time share an announcement: each announcement goes to
     * every other router, and would take most of the time of a leader with a fraction of a core.
     */
    private static final Duration ANNOUNCEMENT_GAP = Duration.ofMillis(15);

    /**
     * After a planning round starts, the next one is due this multiple of its duration later, so
     * that planning takes a quarter of the time.
     */
    private static final int ROUND_PERIOD_FACTOR = 4;

    /**
     * Limits the rest after a planning round: the first rounds after a start run code that is not
     * yet compiled, while demand for models is highest.
     */
    private static final Duration LONGEST_REST = Duration.ofMillis(60);

    private final ControlThread control;
    private final UpstreamTable upstreams;
    private final LeaderLease lease;
    private final OrderClient client;
    private final VmId self;
    private final LeaderAnnouncements announcements;
    private final InstantSource roundClock;
    private final ModelSizeRecord sizeRecord;
    private final LoadPlanner planner = new LoadPlanner(LoadSettings.defaults());
    private final Map<UpstreamId, HeldModels> changedModels = new HashMap<>();
    private Runnable onTableChanged = () -> {};
    private ControlThread.Cancellable ticks = () -> {};
    private boolean announcementScheduled;
    private Instant restUntil = Instant.MIN;
    private Instant explainedAt = Instant.EPOCH;

    /**
     * Creates a coordinator.
     *
     * @param roundClock measures how long planning rounds take
     * @param sizeRecord the sizes of models that earlier configurations stated
     */
    LoadCoordinator(
            ControlThread control,
            UpstreamTable upstreams,
            LeaderLease lease,
            OrderClient client,
            VmId self,
            LeaderAnnouncements announcements,
            InstantSource roundClock,
            ModelSizeRecord sizeRecord) {
        this.control = control;
        this.upstreams = upstreams;
        this.lease = lease;
        this.client = client;
        this.self = self;
        this.announcements = announcements;
        this.roundClock = roundClock;
        this.sizeRecord = sizeRecord;
    }

    /**
     * Starts; {@code whenTableChanged} runs after the table of upstreams of this router has
     * changed.
     */
    void start(Runnable whenTableChanged) {
        onTableChanged = whenTableChanged;
        lease.start(this);
    }

    /** Registers the gauges for unmet demand and for the use of the weight store. */
    void registerMetrics(Metrics metrics) {
        metrics.gauge("models_waited_for", () -> unmetDemand().models());
        metrics.gauge("oldest_model_wait_ms", () -> unmetDemand().longestWait().toMillis());
        metrics.gauge(
                "upstreams_with_forgotten_orders",
                () -> planner.upstreamsWithForgottenOrders(control.clock().instant()));
        metrics.gauge("store_loads_running", () -> planner.storeUsage().runningLoads());
        metrics.gauge("store_loads_at_full_speed", () -> planner.storeUsage().fullSpeedLoads());
    }

    private UnmetDemand unmetDemand() {
        return lease.held() ? planner.unmetDemand(control.clock().instant()) : UnmetDemand.NONE;
    }

    void configurationChanged(DirectConfiguration configuration) {
        Map<String, EngineSpec> engines = new HashMap<>();
        for (ServiceSpec service : configuration.modelServices()) {
            engines.put(service.name(), service.engine().orElseThrow());
        }
        feed(new LoadInput.ServicesConfigured(engines));
        recordSizes();
        upstreams.all().forEach(each -> upstreamListed(each.facts()));
    }

    /**
     * Records that an upstream was listed or its entry changed, or that it has said in an answer
     * that it leaves, which its entry may never tell.
     */
    void upstreamListed(UpstreamFacts facts) {
        boolean leaving = upstreams.find(facts.id()).filter(Upstream::isLeaving).isPresent();
        UpstreamFacts known = leaving ? facts.drainingSince(facts.revision()) : facts;
        feed(new LoadInput.UpstreamListed(known));
    }

    /** Replaces the set of drained availability zones. */
    void drainedZonesChanged(Set<String> zones) {
        feed(new LoadInput.DrainedZonesChanged(zones));
    }

    void upstreamRemoved(UpstreamId upstream) {
        feed(new LoadInput.UpstreamRemoved(upstream));
    }

    void demandReported(LoadInput.DemandReported demand) {
        feed(demand);
    }

    /** Records that another router had no answer to a load order. */
    void unansweredLoadAnnounced(UnansweredLoadOrder load) {
        feed(new LoadInput.UnansweredLoadAnnounced(load));
    }

    /** Returns the models that each upstream holds; empty if this router is not the leader. */
    Map<UpstreamId, HeldModels> heldModels() {
        Map<UpstreamId, HeldModels> all = new HashMap<>();
        if (lease.held()) {
            upstreams.all().forEach(each -> all.put(each.facts().id(), each.held()));
        }
        return all;
    }

    long fencing() {
        return lease.fencing();
    }

    @Override
    public void won(boolean mayFollowOthers) {
        ticks = control.every(TICK, this::tick);
        // Through the store alone the others would learn of the election most of a second later,
        // and would report their demand to nobody until then.
        announcements.announceHeldModels(lease.fencing(), Map.of());
        feed(new LoadInput.SizesRecorded(sizeRecord.sizes()));
        feed(new LoadInput.Elected(mayFollowOthers));
        recordSizes();
    }

    private void recordSizes() {
        sizeRecord.update(
                () -> lease.held() ? Optional.of(planner.largestSizes()) : Optional.empty());
    }

    // A long round on a weak VM is followed by a rest, so that requests get processed in between.
    private void tick() {
        Instant start = roundClock.instant();
        if (start.isBefore(restUntil)) {
            return;
        }
        feed(new LoadInput.Tick());
        Duration took = Duration.between(start, roundClock.instant());
        restUntil = start.plus(shorter(took.multipliedBy(ROUND_PERIOD_FACTOR), LONGEST_REST));
        Instant now = control.clock().instant();
        if (explainedAt.plus(EXPLAIN_PERIOD).isBefore(now)) {
            explainedAt = now;
            planner.explainLongWaits(LONG_WAIT, now).stream()
                    .limit(MAX_EXPLAINED)
                    .forEach(line -> LOG.info("demand still unmet: {}", line));
        }
    }

    private static Duration shorter(Duration one, Duration other) {
        return one.compareTo(other) < 0 ? one : other;
    }

    @Override
    public void lost() {
        ticks.cancel();
        feed(new LoadInput.Resigned());
    }

    private void feed(LoadInput input) {
        planner.on(input, control.clock().instant()).forEach(this::carryOut);
    }

    private void carryOut(LoadAction action) {
        if (action instanceof LoadAction.SendOrder order) {
            sendOrder(order);
        } else if (action instanceof LoadAction.RequestReport request) {
            requestReport(request.upstream());
        } else if (action instanceof LoadAction.AnnounceUnansweredLoad unanswered) {
            announcements.announceUnansweredLoad(unanswered.load());
        } else if (action instanceof LoadAction.AnnounceHeldModels announcement) {
            announce(announcement);
        }
    }

    // The lease is checked again for every order: the VM may have been suspended since the planner
    // decided on it.
    private void sendOrder(LoadAction.SendOrder order) {
        Optional<Upstream> to = upstreams.find(order.upstream());
        if (!lease.held() || to.isEmpty()) {
            control.run(() -> orderAnswered(order, OrderOutcome.REFUSED));
            return;
        }
        Dialect.Order body =
                new Dialect.Order(
                        order.operation(),
                        order.model(),
                        self.value(),
                        lease.fencing(),
                        order.sequence());
        long startNanos = System.nanoTime();
        client.sendOrder(
                to.get(),
                body,
                outcome -> {
                    LOG.info(
                            "order {} {} upstream={} sequence={} free_mb={} holds={} outcome={}"
                                    + " ms={}",
                            order.operation(),
                            order.model(),
                            order.upstream(),
                            order.sequence(),
                            (long) order.freeMb(),
                            to.get().held().adapters().keySet(),
                            outcome,
                            (System.nanoTime() - startNanos) / 1_000_000);
                    orderAnswered(order, outcome);
                });
    }

    private void orderAnswered(LoadAction.SendOrder order, OrderOutcome outcome) {
        if (outcome == OrderOutcome.FENCED) {
            lease.resign("an upstream has seen a higher fencing token");
        }
        feed(new LoadInput.OrderAnswered(order.upstream(), order.number(), outcome));
    }

    private void requestReport(UpstreamId id) {
        Optional<Upstream> to = upstreams.find(id);
        if (to.isEmpty()) {
            feed(new LoadInput.UpstreamRemoved(id));
            return;
        }
        client.requestReport(
                to.get(),
                report ->
                        feed(
                                report.<LoadInput>map(found -> found)
                                        .orElse(new LoadInput.ReportFailed(id))));
    }

    private void announce(LoadAction.AnnounceHeldModels announcement) {
        upstreams
                .find(announcement.upstream())
                .ifPresent(
                        each ->
                                each.leaderAnnounced(
                                        announcement.held(), control.clock().instant()));
        changedModels.put(announcement.upstream(), announcement.held());
        if (!announcementScheduled) {
            announcementScheduled = true;
            control.after(ANNOUNCEMENT_GAP, this::sendAnnouncements);
        }
    }

    private void sendAnnouncements() {
        announcementScheduled = false;
        announcements.announceHeldModels(lease.fencing(), Map.copyOf(changedModels));
        changedModels.clear();
        onTableChanged.run();
    }
}
