package io.damaskyoke.mixed;

import io.damaskyoke.control.configuration.Configuration;
import io.damaskyoke.id.Incarnation;
import io.damaskyoke.id.VmId;
import io.damaskyoke.platform.KeyValueStore;
import io.damaskyoke.router.SimulatedProcess;
import java.util.Random;

/** One life of a router: what it follows, spends and leads, all on one control thread. */
final class MixedRouter {
    final Incarnation incarnation;
    final VmId vm;
    final SimulatedProcess life;
    final RateRouter rates;
    final LogRouter log;
    final LeaderLease lease;

    MixedRouter(
            MixedWorld world, KeyValueStore store, int number, int life, SimulatedProcess control) {
        this.vm = VmId.of("router-" + number);
        this.incarnation = Incarnation.of(vm.value() + ":" + life);
        this.life = control;
        this.rates = new RateRouter(control, store, world, incarnation, vm);
        Random random = new Random(world.seed() + 31L * life);
        this.log = new LogRouter(control, store, random, world::passTokens, rates::configured);
        this.lease = new LeaderLease(control, store, world::keptAlive);
    }

    Configuration configuration() {
        return log.current();
    }

    @Override
    public String toString() {
        return incarnation.value();
    }
}
