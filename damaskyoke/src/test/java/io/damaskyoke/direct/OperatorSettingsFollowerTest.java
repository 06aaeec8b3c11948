package io.damaskyoke.direct;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.damaskyoke.control.TestControlThread;
import io.damaskyoke.control.upstreams.DrainedZones;
import io.damaskyoke.follow.PollTiming;
import io.damaskyoke.follow.Relay;
import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.platform.FakeStore;
import io.damaskyoke.platform.KeyValueStore.Write;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class OperatorSettingsFollowerTest {
    private static final PollTiming PACE = new PollTiming(Duration.ofMillis(2_500), Duration.ZERO);

    private final TestControlThread control = new TestControlThread();
    private final FakeStore store = new FakeStore(control);
    private final TestDialect dialect = new TestDialect();
    private final DrainedZones zones = new DrainedZones(Duration.ofSeconds(5));
    private final ConfigurationHolder configuration = new ConfigurationHolder(dialect, any -> {});

    // Guards against a configuration of another writer that hides the drains read with it.
    @ParameterizedTest
    @ValueSource(strings = {"", "junk", "99999999999999999999", "-"})
    void anOddConfigurationHidesNoDrain(String value) {
        put("operator/configuration", value);
        put("operator/drained/a", "");
        put("operator/odd", value);
        follow();
        assertEquals(Set.of("a"), zones.all().keySet());
        put("operator/configuration", "7");
        control.advance(Duration.ofSeconds(3));
        assertEquals(7, configuration.current().orElseThrow().version());
    }

    private void follow() {
        ZoneDrains drains = new ZoneDrains(dialect, zones, Set.of(), new IgnoredDrains());
        new OperatorSettingsFollower(
                        control,
                        store,
                        dialect,
                        configuration,
                        drains,
                        PACE,
                        Relay.none(),
                        new Metrics())
                .start();
    }

    private void put(String key, String value) {
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        store.commit(List.of(), List.of(new Write.Put(key, bytes, 0)));
    }

    private static final class IgnoredDrains implements ZoneDrains.Listener {
        @Override
        public void drained(String zone) {}

        @Override
        public void restored(String zone) {}
    }
}
