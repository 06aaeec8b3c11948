package io.damaskyoke.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.damaskyoke.control.TestControlThread;
import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.platform.FakeStore;
import io.damaskyoke.platform.KeyValueStore.Write;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class AgentRegistrationsTest {
    private final TestControlThread control = new TestControlThread();
    private final FakeStore store = new FakeStore(control);
    private final AgentRegistrations agents =
            new AgentRegistrations(control, store, "p", new Metrics());

    // Guards against one key of another writer after which no agent is found or followed.
    @ParameterizedTest
    @ValueSource(strings = {"", "a b", "\u0000", "\u00fc"})
    void anOddKeyHidesNoAgent(String odd) {
        put(odd);
        put("one");
        agents.watch(true);
        assertEquals(List.of("one"), known());
        put(odd);
        put("two");
        store.commit(List.of(), List.of(new Write.Delete("p/agents/" + odd)));
        put("zzz");
        control.advance(Duration.ofSeconds(3));
        assertEquals(List.of("one", "two", "zzz"), known());
    }

    private List<String> known() {
        return agents.table().registrations().stream().map(row -> row.vm().value()).toList();
    }

    private void put(String name) {
        byte[] value = "{}".getBytes(StandardCharsets.UTF_8);
        store.commit(List.of(), List.of(new Write.Put("p/agents/" + name, value, 0)));
    }
}
