package io.damaskyoke.direct;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.control.crashes.RequestDigest;
import io.damaskyoke.follow.ChangeListener;
import io.damaskyoke.follow.Follower;
import io.damaskyoke.follow.Pace;
import io.damaskyoke.follow.Relay;
import io.damaskyoke.id.AvailabilityZone;
import io.damaskyoke.id.VmId;
import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.platform.KeyValueStore.Change;
import io.damaskyoke.platform.KeyValueStore.Entry;
import io.damaskyoke.platform.KeyValueStore.Write;
import io.damaskyoke.platform.PolledStore;
import io.damaskyoke.platform.VmList;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BiConsumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Which routers there are, and who gives the orders: each writes itself into the store under a
 * lease and watches the others. Control thread only.
 */
final class Membership implements VmList {
    private static final Logger LOG = LogManager.getLogger(Membership.class);
    private static final String FLEET = "/fleet/";
    private static final String ROUTERS = FLEET + "routers/";

    private static final String KEPT_OUT = FLEET + "kept-out/";

    /** Named so by earlier versions, which may run beside this one. */
    private static final String LEADER = FLEET + "giver";

    /** A router that is killed is missed after this; its next life takes its place at once. */
    private static final Duration TERM = Duration.ofSeconds(4);

    /** Two may be lost before the entry lapses; each has its price in the store. */
    private static final Duration KEEP = Duration.ofMillis(1_500);

    private static final Duration RETRY = Duration.ofMillis(300);

    private final ControlThread control;
    private final PolledStore store;
    private final RouterEntry self;
    private final String prefix;
    private final Map<VmId, RouterEntry> routers = new TreeMap<>();
    private final Follower follower;
    private Optional<VmId> leader = Optional.empty();
    private long leaderRevision;
    private WatchPlan plan = WatchPlan.of(List.of());
    private Runnable changed = () -> {};
    private BiConsumer<RequestDigest, Integer> keptOut = (request, trials) -> {};
    private long lease;
    private boolean leaving;

    Membership(
            ControlThread control,
            PolledStore store,
            String storePrefix,
            RouterEntry self,
            Pace pace,
            Relay relay,
            Metrics metrics) {
        this.control = control;
        this.store = store;
        this.self = self;
        this.prefix = storePrefix;
        this.follower =
                Follower.of("routers")
                        .under(prefix + FLEET)
                        .in(store)
                        .at(pace)
                        .on(control)
                        .counting(metrics)
                        .by(relay)
                        .tell(new Listener());
    }

    /** Begins; {@code changed} runs whenever a router or the leader has come or gone. */
    void start(Runnable whenChanged) {
        changed = whenChanged;
        follower.start();
        register();
    }

    /** {@code action} runs for each request that the store says is kept out, with its trials. */
    void onKeptOut(BiConsumer<RequestDigest, Integer> action) {
        keptOut = action;
    }

    /** What the keys of requests that are kept out begin with. */
    String keptOutPrefix() {
        return prefix + KEPT_OUT;
    }

    /** This router. */
    VmId self() {
        return self.vm();
    }

    /** The key that the leader holds. */
    String leaderKey() {
        return prefix + LEADER;
    }

    /** Who gives the orders, as far as is known. */
    Optional<VmId> leader() {
        return leader;
    }

    /** A router says itself that it gives the orders now; the store's word comes later. */
    void announced(VmId by) {
        leader = Optional.of(by);
        LOG.info("orders are given by {}, as it says", by);
    }

    /** A leader has stopped, and its lease is ended; the store's word comes later. */
    void vacated(VmId by) {
        if (leader.isPresent() && leader.get().equals(by)) {
            leader = Optional.empty();
            leaderRevision = 0;
            LOG.info("{} gives orders no longer, as it says", by);
        }
    }

    /** Where the entry of an earlier life of this router as leader stands; 0 if there is none. */
    long ownLeaderRevision() {
        return leader.isPresent() && leader.get().equals(self.vm()) ? leaderRevision : 0;
    }

    /**
     * True if the store says that nobody gives orders, or that an earlier life of this router does.
     * That life is over, and its lease need not be waited for.
     */
    boolean vacant() {
        return follower.upToDate() && (leader.isEmpty() || leader.get().equals(self.vm()));
    }

    /** All routers but this one. */
    Collection<RouterEntry> others() {
        return routers.values().stream().filter(each -> !each.vm().equals(self.vm())).toList();
    }

    /** What follows the list of routers, for others that follow it through this one. */
    Follower follower() {
        return follower;
    }

    /** Who follows the store for all, by the list as it is known here. */
    WatchPlan plan() {
        return plan;
    }

    /** Whom this router asks for changes in the store; empty if it follows the store itself. */
    List<VmId> sources() {
        return plan.sources(self.vm(), AvailabilityZone.of(self.zone()));
    }

    /** True if this router is one of those that follow the store for all. */
    boolean watches() {
        return plan.watches(self.vm());
    }

    /** The names of all routers that are listed. */
    Collection<VmId> routers() {
        return routers.keySet();
    }

    /** How many routers there are, this one too. */
    int size() {
        return others().size() + 1;
    }

    /** Takes this router off the list, so that nobody counts on it. */
    void leave() {
        leaving = true;
        if (lease != 0) {
            store.revokeLease(lease);
        }
    }

    // A router that is cut off would else take its own copy for the store's word, and spend its
    // shares for as long as the cut lasts, also after the others have taken them back.
    @Override
    public CompletionStage<List<Vm>> read() {
        if (!follower.upToDate()) {
            return CompletableFuture.failedFuture(
                    new DirectException(
                            DirectException.Code.LIST_OUT_OF_DATE,
                            "the store can't be followed now"));
        }
        return CompletableFuture.completedFuture(vms());
    }

    private List<Vm> vms() {
        List<Vm> vms = new ArrayList<>();
        for (RouterEntry each : routers.values()) {
            vms.add(
                    new Vm(
                            each.vm(),
                            Role.ROUTER,
                            AvailabilityZone.of(each.zone()),
                            each.host(),
                            each.port(),
                            each.port(),
                            State.LIVE));
        }
        return vms;
    }

    private void register() {
        if (leaving) {
            return;
        }
        store.grantLease(TERM)
                .whenComplete((granted, failure) -> control.run(() -> granted(granted)));
    }

    private void granted(Long granted) {
        if (granted == null) {
            control.after(RETRY, this::register);
            return;
        }
        lease = granted;
        String key = prefix + ROUTERS + self.vm();
        store.commit(List.of(), List.of(new Write.Put(key, self.toJson(), lease)))
                .whenComplete((result, failure) -> control.run(() -> written(failure == null)));
    }

    private void written(boolean done) {
        if (done) {
            control.after(KEEP, this::keep);
            hearOfSelf();
        } else {
            control.after(RETRY, this::register);
        }
    }

    // Off its own list it may spend no share of a rate, and would refuse until it hears by itself.
    private void hearOfSelf() {
        follower.whenKnown(control.clock().instant(), RETRY, known -> {});
    }

    private void keep() {
        if (leaving) {
            return;
        }
        store.keepAlive(lease)
                .whenComplete((alive, failure) -> control.run(() -> kept(failure != null, alive)));
    }

    private void kept(boolean failed, Boolean alive) {
        if (failed) {
            control.after(RETRY, this::keep);
        } else if (alive) {
            control.after(KEEP, this::keep);
        } else {
            LOG.info("the lease of this router's entry has ended, registering anew");
            register();
        }
    }

    /** Takes in what the store says of the fleet. */
    private final class Listener implements ChangeListener {
        private void putKeptOut(Entry entry) {
            String digest = entry.key().substring(keptOutPrefix().length());
            String trials = new String(entry.value(), StandardCharsets.UTF_8);
            try {
                keptOut.accept(new RequestDigest(digest), Integer.parseInt(trials));
            } catch (NumberFormatException e) {
                LOG.warn("the entry {} is left out: {}", entry.key(), e.getMessage());
            }
        }

        @Override
        public void all(List<Entry> entries, long revision, Duration silence) {
            routers.clear();
            leader = Optional.empty();
            entries.forEach(entry -> put(entry.key(), Optional.of(entry)));
            listChanged();
        }

        @Override
        public void changed(List<Change> changes, long revision, Duration silence) {
            changes.forEach(change -> put(change.key(), change.entry()));
            listChanged();
        }

        private void listChanged() {
            plan = WatchPlan.of(vms());
            changed.run();
        }

        private void put(String key, Optional<Entry> entry) {
            if (key.equals(leaderKey())) {
                leader =
                        entry.map(found -> new String(found.value(), StandardCharsets.UTF_8))
                                .map(VmId::of);
                leaderRevision = entry.map(Entry::modRevision).orElse(0L);
                LOG.info("orders are given by {}", leader.map(VmId::value).orElse("nobody"));
                return;
            }
            if (key.startsWith(keptOutPrefix())) {
                entry.ifPresent(this::putKeptOut);
                return;
            }
            if (!key.startsWith(prefix + ROUTERS)) {
                return;
            }
            VmId vm = VmId.of(key.substring((prefix + ROUTERS).length()));
            if (entry.isEmpty()) {
                routers.remove(vm);
                return;
            }
            try {
                routers.put(vm, RouterEntry.parse(entry.get().value()));
            } catch (DirectException e) {
                LOG.warn("the entry {} is left out: {}", key, e.getMessage());
            }
        }
    }
}
