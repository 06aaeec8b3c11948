package io.damaskyoke.mixed;

import io.damaskyoke.control.configuration.Model;
import io.damaskyoke.control.placement.ReplicaGrant;
import io.damaskyoke.control.placement.Shard;
import io.damaskyoke.control.rates.ShareTable;
import io.damaskyoke.id.ModelName;
import io.damaskyoke.platform.KeyValueStore;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The rules of the whole system, held against the truth after each step. */
final class Checks {
    private final MixedWorld world;
    private final TrueLog log = new TrueLog();
    private final List<String> found = new ArrayList<>();
    private long headBefore;
    private Map<ModelName, Integer> rightsBefore = new HashMap<>();

    Checks(MixedWorld world) {
        this.world = world;
    }

    List<String> found() {
        return found;
    }

    TrueLog log() {
        return log;
    }

    void afterStep() {
        List<String> now = new ArrayList<>();
        configuration(now);
        replicas(now);
        shares(now);
        now.addAll(world.placement().currentViolations());
        now.addAll(world.claims().currentViolations());
        rateAnswers(now);
        now.forEach(fault -> found.add(world.at() + ": " + fault));
    }

    /** What must be so again once the failures are over. */
    void atEnd() {
        for (MixedRouter router : world.routers()) {
            if (router.configuration().sequence() != log.head()) {
                found.add("end: " + router + " is at " + router.configuration());
            }
        }
        Map<ModelName, Integer> rights = rights();
        for (Model model : world.placement().models().values()) {
            int has = rights.getOrDefault(model.name(), 0);
            int wanted = world.decided(model.name());
            wanted = Math.min(wanted, model.base().map(world::decided).orElse(wanted));
            if (has != wanted) {
                found.add("end: " + has + " rights to " + model.name() + " of " + wanted);
            }
        }
        if (world.placement().served() == 0
                || world.claims().served() == 0
                || world.admittedCount() == 0
                || log.accepted() == 0) {
            found.add("end: nobody was served");
        }
    }

    private void configuration(List<String> now) {
        log.stands(LogRouter.entries(world.store().contents("t/config/log/")), now);
        for (MixedRouter router : world.routers()) {
            log.follows(router, router.configuration(), now);
        }
    }

    // Each replica needs a right, and rights only grow within what operators have decided.
    private void replicas(List<String> now) {
        Map<ModelName, Integer> rights = rights();
        for (Model model : world.placement().models().values()) {
            int has = rights.getOrDefault(model.name(), 0);
            long holding = world.placement().countHolders(model.name());
            if (holding > has) {
                now.add(holding + " engines hold " + model.name() + " under " + has + " rights");
            }
            int before = rightsBefore.getOrDefault(model.name(), 0);
            int decided = log.mostReplicas(model.name(), headBefore);
            if (has > Math.max(before, decided)) {
                now.add(
                        has
                                + " rights to "
                                + model.name()
                                + ", decided "
                                + world.decided(model.name()));
            }
        }
        rightsBefore = rights;
        headBefore = log.head();
    }

    private Map<ModelName, Integer> rights() {
        Map<ModelName, Integer> rights = new HashMap<>();
        for (KeyValueStore.Entry entry : world.store().contents("t/placement/")) {
            for (ReplicaGrant right : Shard.parse(entry.value()).grants()) {
                rights.merge(right.model(), 1, Integer::sum);
            }
        }
        return rights;
    }

    private void shares(List<String> now) {
        for (KeyValueStore.Entry entry : world.store().contents(RateRouter.PREFIX)) {
            try {
                ShareTable.parse(entry.value());
            } catch (IllegalArgumentException e) {
                now.add("the shares of " + entry.key() + ": " + e.getMessage());
            }
        }
    }

    // After a freeze a router first reads what arrived meanwhile, and refuses a tick later.
    private void rateAnswers(List<String> now) {
        for (MixedRouter router : world.routers()) {
            if (!router.life.wasFrozenWithin(RateRouter.TICK)) {
                router.rates.late().forEach(id -> now.add(id + " has no verdict on its rate"));
            }
        }
    }
}
