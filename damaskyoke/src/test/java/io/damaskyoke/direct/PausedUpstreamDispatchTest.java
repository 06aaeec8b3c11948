package io.damaskyoke.direct;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.damaskyoke.control.TestControlThread;
import io.damaskyoke.control.direct.EngineSpec;
import io.damaskyoke.control.direct.ModelSpec;
import io.damaskyoke.control.direct.ServiceSpec;
import io.damaskyoke.control.upstreams.HeldModels;
import io.damaskyoke.control.upstreams.ModelRef;
import io.damaskyoke.control.upstreams.TestFacts;
import io.damaskyoke.control.upstreams.Upstream;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.control.upstreams.UpstreamTable;
import io.damaskyoke.id.VmId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Tests what becomes of requests while the upstreams that could serve them are paused. */
class PausedUpstreamDispatchTest {
    private static final String SERVICE = "service";
    private static final Duration QUEUE_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration LONG = Duration.ofSeconds(4);
    private static final Duration SHORT = Duration.ofSeconds(1);

    private final TestControlThread time = new TestControlThread();
    private final UpstreamTable upstreams = new UpstreamTable();
    private final UpstreamDispatcher dispatcher =
            new UpstreamDispatcher(
                    upstreams, "a", Map.of(), time.clock(), Runnable::run, (id, all) -> (int) all);
    private final List<String> sent = new ArrayList<>();
    private final List<Duration> refused = new ArrayList<>();

    // Guards against requests that wait for their deadline although no pause ends before it.
    @Test
    void aRequestIsRefusedAtOnceIfAllArePausedForTooLong() {
        list("one");
        list("two");
        pause("one", LONG);
        pause("two", LONG.plusSeconds(1));
        arrive(null);
        assertEquals(1, refused.size());
        assertTrue(refused.get(0).compareTo(LONG) >= 0, "retry after " + refused.get(0));
        assertTrue(refused.get(0).compareTo(LONG.plusSeconds(1)) <= 0, "" + refused.get(0));
    }

    // Guards against callers that all come back in the same moment.
    @Test
    void theTimesToRetryAreSpread() {
        list("one");
        pause("one", LONG);
        for (int each = 0; each < 50; each++) {
            arrive(null);
        }
        assertTrue(refused.stream().distinct().count() > 25, "" + refused);
    }

    // Guards against a refusal although a pause ends in time, or an upstream is not paused.
    @Test
    void aRequestWaitsForAPauseThatEndsInTime() {
        list("one");
        list("two");
        pause("one", SHORT);
        pause("two", LONG);
        arrive(null);
        time.advance(SHORT.minusMillis(1));
        dispatcher.tick();
        assertEquals(List.of(), sent);
        time.advance(Duration.ofMillis(1));
        dispatcher.tick();
        assertEquals(List.of("one"), sent);
        list("three");
        arrive(null);
        assertEquals(List.of("one", "three"), sent);
        assertEquals(List.of(), refused);
    }

    // Guards against queued requests that wait for their deadline after a pause was lengthened.
    @Test
    void queuedRequestsAreRefusedOnceAPauseGetsTooLong() {
        list("one");
        pause("one", SHORT);
        arrive(null);
        pause("one", LONG);
        dispatcher.tick();
        assertEquals(1, refused.size());
    }

    // Guards against requests for other models that wait behind a paused upstream, and against
    // refusals where the model can be loaded elsewhere in time.
    @Test
    void aModelIsWaitedForWhereAnotherUpstreamCanLoadItInTime() {
        configure(Duration.ofMillis(1_500));
        list("one", "m", "n");
        list("two", "n");
        pause("one", LONG);
        arrive("n");
        assertEquals(List.of("two"), sent);
        arrive("m");
        assertEquals(List.of(), refused);
    }

    // Guards against requests that wait for the only copy of their model, which is paused for too
    // long, where a load elsewhere takes too long as well.
    @Test
    void aModelWhoseOnlyCopyIsPausedForTooLongIsRefusedAtOnce() {
        configure(Duration.ofSeconds(9));
        list("one", "m");
        list("two", "n");
        pause("one", LONG);
        arrive("m");
        assertEquals(1, refused.size());
        assertTrue(refused.get(0).compareTo(LONG) >= 0, "retry after " + refused.get(0));
    }

    // Guards against a leader that leaves a model at an upstream which takes no requests for it.
    @Test
    void theLeaderLearnsWhichUpstreamsArePausedForLongOrLeave() {
        List.of("one", "two", "three", "four").forEach(this::list);
        pause("one", LONG);
        pause("two", Duration.ofMillis(100));
        upstreams.departureStated(UpstreamId.of("three"), time.clock().instant());
        Set<UpstreamId> suspects = dispatcher.demand(VmId.of("vm")).suspects();
        assertEquals(Set.of(UpstreamId.of("one"), UpstreamId.of("three")), suspects);
    }

    private void configure(Duration loadTime) {
        Map<String, ModelSpec> models =
                Map.of(
                        "m", new ModelSpec("m", 70, loadTime, loadTime, loadTime, 1),
                        "n", new ModelSpec("n", 70, loadTime, loadTime, loadTime, 1));
        EngineSpec spec = new EngineSpec(8, 85_236, 230, 8, 14, models);
        dispatcher.setEngineServices(
                List.of(new ServiceSpec(SERVICE, 350, Duration.ZERO, 0, Optional.of(spec))));
    }

    private void pause(String upstream, Duration pause) {
        upstreams.pauseRequested(UpstreamId.of(upstream), pause, time.clock().instant());
    }

    private void arrive(String model) {
        dispatcher.arrive(new Request(model));
    }

    private void list(String id, String... models) {
        Map<String, Set<String>> held = new TreeMap<>();
        List.of(models).forEach(model -> held.put(model, Set.of()));
        upstreams.put(
                TestFacts.of(id, 1, SERVICE, 8, new HeldModels(1, 1, held)),
                time.clock().instant());
    }

    /** A request that never finishes. */
    private final class Request extends SimulatedRequest {
        private final Optional<ModelRef> model;

        Request(String model) {
            super(SERVICE, time.clock().instant(), QUEUE_TIMEOUT);
            this.model = Optional.ofNullable(model).map(ModelRef::parse);
        }

        @Override
        public Optional<ModelRef> model() {
            return model;
        }

        @Override
        public void sendTo(Upstream upstream) {
            upstream.requestAssigned(model.orElse(null), time.clock().instant());
            sent.add(upstream.facts().id().value());
        }

        @Override
        public void refusePaused(Duration retryAfter) {
            refused.add(retryAfter);
        }

        @Override
        public void handleNoUpstream() {
            throw new AssertionError("the request waited for its deadline");
        }
    }
}
