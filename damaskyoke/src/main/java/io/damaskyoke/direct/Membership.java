package io.damaskyoke.direct;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.control.crashes.CrashSuspect;
import io.damaskyoke.follow.ChangeListener;
import io.damaskyoke.follow.Follower;
import io.damaskyoke.follow.PollTiming;
import io.damaskyoke.follow.Relay;
import io.damaskyoke.follow.UnreadableEntries;
import io.damaskyoke.id.AvailabilityZone;
import io.damaskyoke.id.VmId;
import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.platform.KeyValueStore.Change;
import io.damaskyoke.platform.KeyValueStore.Entry;
import io.damaskyoke.platform.PolledStore;
import io.damaskyoke.platform.VmList;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BiConsumer;
import java.util.function.Function;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Lists the routers of the fleet and the leader among them. Each router registers itself in the
 * store under a lease, and watches the entries of the others. Control thread only.
 */
final class Membership implements VmList {
    private static final Logger LOG = LogManager.getLogger(Membership.class);
    private static final String FLEET = "/fleet/";
    private static final String ROUTERS = FLEET + "routers/";

    private static final String QUARANTINED = FLEET + "kept-out/";
    private static final String QUARANTINED_PARTS = FLEET + "kept-out-parts/";

    /** Earlier versions, which may run beside this one, use this key. */
    private static final String LEADER = FLEET + "giver";

    /** Stays for good once a fleet has had a leader. */
    private static final String FIRST_LEADER = FLEET + "first-leader";

    private static final String MODEL_SIZES = FLEET + "model-sizes";

    private static final Duration FETCH_TIME = Duration.ofMillis(300);

    /** How long a router that registers again may be off its list. */
    private static final Duration MAX_GAP = Duration.ofSeconds(1);

    private final ControlThread control;
    private final PolledStore store;
    private final RouterEntry self;
    private final String prefix;
    private final Map<VmId, RouterEntry> routers = new TreeMap<>();
    private final Follower follower;
    private final RouterRegistration registration;
    private final UnreadableEntries unreadable;
    private Optional<VmId> leader = Optional.empty();
    private long leaderRevision;
    private WatchPlan plan = WatchPlan.of(List.of());
    private Set<VmId> large = Set.of();
    private Runnable onChange = () -> {};
    private BiConsumer<CrashSuspect, Integer> onQuarantined = (request, trials) -> {};
    private Optional<Instant> missingSince = Optional.empty();
    private boolean everListed;
    private boolean hadLeader;
    private Optional<Entry> modelSizes = Optional.empty();

    Membership(
            ControlThread control,
            PolledStore store,
            String storePrefix,
            RouterEntry self,
            PollTiming timing,
            Relay relay,
            Metrics metrics) {
        this.control = control;
        this.store = store;
        this.self = self;
        this.prefix = storePrefix;
        this.unreadable = new UnreadableEntries("routers", metrics, LOG::warn);
        this.follower =
                Follower.of("routers")
                        .under(prefix + FLEET)
                        .in(store)
                        .at(timing)
                        .on(control)
                        .counting(metrics)
                        .via(relay)
                        .build(new Listener());
        this.registration =
                new RouterRegistration(
                        control,
                        store,
                        prefix + ROUTERS + self.vm(),
                        self.toJson(),
                        this::fetchOwnEntry);
    }

    /** Starts; {@code whenChanged} runs whenever the list of routers or the leader changes. */
    void start(Runnable whenChanged) {
        onChange = whenChanged;
        follower.start();
        registration.start();
    }

    /** Runs {@code action} for each quarantined suspect in the store, with its count of trials. */
    void onQuarantined(BiConsumer<CrashSuspect, Integer> action) {
        onQuarantined = action;
    }

    /** Returns the key prefix of quarantined suspects of the kind of this one. */
    String quarantinePrefix(CrashSuspect suspect) {
        return prefix + (suspect.isPromptPart() ? QUARANTINED_PARTS : QUARANTINED);
    }

    private Optional<CrashSuspect> quarantinedSuspect(String key) {
        if (key.startsWith(prefix + QUARANTINED)) {
            String digest = key.substring((prefix + QUARANTINED).length());
            return Optional.of(CrashSuspect.request(digest));
        }
        if (key.startsWith(prefix + QUARANTINED_PARTS)) {
            String part = key.substring((prefix + QUARANTINED_PARTS).length());
            return Optional.of(CrashSuspect.promptPart(part));
        }
        return Optional.empty();
    }

    /** Returns the key that says that the fleet has had a leader. */
    String firstLeaderKey() {
        return prefix + FIRST_LEADER;
    }

    /** Returns whether the fleet has had a leader, as far as this router has seen. */
    boolean hadLeader() {
        return hadLeader;
    }

    /** Returns the key of the {@link ModelSizeRecord}. */
    String modelSizesKey() {
        return prefix + MODEL_SIZES;
    }

    /** Returns the entry of the {@link ModelSizeRecord}, if there is one. */
    Optional<Entry> modelSizes() {
        return modelSizes;
    }

    /** Returns the VM id of this router. */
    VmId self() {
        return self.vm();
    }

    /** Returns the key that the leader's entry has in the store. */
    String leaderKey() {
        return prefix + LEADER;
    }

    /** Returns the leader, if one is known. */
    Optional<VmId> leader() {
        return leader;
    }

    /** Records that a router announced itself as leader, before the store's change arrives. */
    void leaderAnnounced(VmId router) {
        leader = Optional.of(router);
        hadLeader = true;
        LOG.info("leader: {} (by its own announcement)", router);
    }

    /**
     * Records that a leader resigned and its lease is revoked, before the store's change arrives.
     */
    void leaderResigned(VmId router) {
        if (leader.isPresent() && leader.get().equals(router)) {
            leader = Optional.empty();
            leaderRevision = 0;
            LOG.info("leader {} resigned (by its own announcement)", router);
        }
    }

    /**
     * Returns the revision of the leader entry that this router, or an earlier incarnation of it,
     * wrote; 0 if there is none.
     */
    long ownLeaderRevision() {
        return leader.isPresent() && leader.get().equals(self.vm()) ? leaderRevision : 0;
    }

    /**
     * Returns true if the store has no leader entry, or one of an earlier incarnation of this
     * router. That incarnation is over, and the expiry of its lease need not be awaited.
     */
    boolean isLeadershipVacant() {
        return follower.upToDate() && (leader.isEmpty() || leader.get().equals(self.vm()));
    }

    /** Returns the entries of all routers except this one. */
    Collection<RouterEntry> others() {
        return routers.values().stream().filter(each -> !each.vm().equals(self.vm())).toList();
    }

    /**
     * Returns the follower of the list of routers, which also serves routers that relay through it.
     */
    Follower follower() {
        return follower;
    }

    /** Returns which routers watch the store on behalf of all, by the list known here. */
    WatchPlan plan() {
        return plan;
    }

    /**
     * Returns the routers from which this one fetches changes in the store; empty if it watches the
     * store itself.
     */
    List<VmId> relays() {
        return plan.sources(self.vm(), AvailabilityZone.of(self.zone()));
    }

    /** Returns true if this router is one of those that watch the store on behalf of all. */
    boolean watchesStore() {
        return plan.watches(self.vm());
    }

    /** Returns the VM ids of all routers in the list. */
    Collection<VmId> routerIds() {
        return routers.keySet();
    }

    /** Returns the routers that get the duties which one router carries out for all others. */
    Set<VmId> largeRouters() {
        return large;
    }

    /** Returns the number of routers, including this one. */
    int size() {
        return others().size() + 1;
    }

    /** Revokes this router's entry, so that no other router relies on it. */
    void deregister() {
        registration.end();
    }

    /**
     * Returns true if this router has been off the list for a while, by a list that is up to date.
     * The other routers have taken its shares of the rate limits then.
     */
    boolean isDelisted() {
        Instant now = control.clock().instant();
        return follower.upToDate()
                && missingSince.filter(since -> since.plus(MAX_GAP).isBefore(now)).isPresent();
    }

    // A router that is partitioned from the store must not use its own copy of the list: it would
    // spend its rate shares during the whole partition, also after the others reclaimed them.
    @Override
    public CompletionStage<List<Vm>> read() {
        if (!follower.upToDate()) {
            return CompletableFuture.failedFuture(
                    new DirectException(
                            DirectException.Code.LIST_OUT_OF_DATE,
                            "the list of routers is out of date: the store doesn't answer"));
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

    // While this router is not on its own list it may spend no rate share, and would reject
    // requests until the next change arrives; so its own entry is fetched at once.
    private void fetchOwnEntry() {
        follower.whenCompleteUpTo(control.clock().instant(), FETCH_TIME, known -> {});
    }

    /** Applies changes in the fleet's entries. */
    private final class Listener implements ChangeListener {
        @Override
        public void entriesRead(List<Entry> entries, long revision, Duration silence) {
            routers.clear();
            leader = Optional.empty();
            modelSizes = Optional.empty();
            unreadable.keepOnly(entries);
            registration.entrySeen(ownEntry(entries), revision);
            entries.forEach(entry -> put(entry.key(), Optional.of(entry)));
            listChanged();
        }

        @Override
        public void entriesChanged(List<Change> changes, long revision, Duration silence) {
            for (Change change : changes) {
                if (change.key().equals(registration.key())) {
                    registration.entrySeen(change.entry(), change.revision());
                }
                put(change.key(), change.entry());
            }
            listChanged();
        }

        private Optional<Entry> ownEntry(List<Entry> entries) {
            return entries.stream()
                    .filter(entry -> entry.key().equals(registration.key()))
                    .findFirst();
        }

        private void listChanged() {
            updateLargeRouters();
            updateMissing();
            plan = WatchPlan.of(vms(), large::contains);
            onChange.run();
        }

        private void updateMissing() {
            boolean listed = routers.containsKey(self.vm());
            everListed |= listed;
            if (listed || !everListed) {
                missingSince = Optional.empty();
            } else if (missingSince.isEmpty()) {
                missingSince = Optional.of(control.clock().instant());
            }
        }

        private void updateLargeRouters() {
            Set<VmId> now = LargeRouters.of(routers.values());
            if (!now.equals(large)) {
                LOG.info("large routers: {} of {}", now.size(), routers.size());
            }
            large = now;
        }

        private void put(String key, Optional<Entry> entry) {
            if (key.equals(firstLeaderKey())) {
                hadLeader = true;
                return;
            }
            if (key.equals(modelSizesKey())) {
                modelSizes = entry;
                return;
            }
            if (key.equals(leaderKey())) {
                hadLeader |= entry.isPresent();
                putLeader(entry);
                return;
            }
            if (key.startsWith(prefix + ROUTERS)) {
                putRouter(key, entry);
                return;
            }
            quarantinedSuspect(key).ifPresent(suspect -> putQuarantined(suspect, key, entry));
        }

        private void putLeader(Optional<Entry> entry) {
            leader = read(leaderKey(), entry, found -> VmId.of(text(found)));
            leaderRevision = entry.map(Entry::modRevision).orElse(0L);
            LOG.info("leader: {}", leader.map(VmId::value).orElse("nobody"));
        }

        private void putRouter(String key, Optional<Entry> entry) {
            String name = key.substring((prefix + ROUTERS).length());
            if (entry.isEmpty()) {
                routers.keySet().removeIf(vm -> vm.value().equals(name));
            }
            read(key, entry, found -> RouterEntry.parse(found.value()).reachableAs(name))
                    .ifPresent(router -> routers.put(router.vm(), router));
        }

        private void putQuarantined(CrashSuspect suspect, String key, Optional<Entry> entry) {
            read(key, entry, found -> Integer.parseInt(text(found)))
                    .ifPresent(trials -> onQuarantined.accept(suspect, trials));
        }

        private <T> Optional<T> read(String key, Optional<Entry> entry, Function<Entry, T> parser) {
            if (entry.isEmpty()) {
                unreadable.forget(key);
            }
            return entry.flatMap(
                    found -> unreadable.read(key, () -> Optional.of(parser.apply(found))));
        }

        private static String text(Entry entry) {
            return new String(entry.value(), StandardCharsets.UTF_8);
        }
    }
}
