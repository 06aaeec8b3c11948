package io.damaskyoke.control.loads;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.damaskyoke.control.direct.EngineSpec;
import io.damaskyoke.control.direct.ModelSpec;
import io.damaskyoke.control.upstreams.HeldModels;
import io.damaskyoke.control.upstreams.ModelRef;
import io.damaskyoke.control.upstreams.UpstreamFacts;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.http.Endpoint;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class UnansweredLoadOrdersTest {
    private static final UpstreamId ONE = UpstreamId.of("one");
    private static final Instant SENT = Instant.ofEpochSecond(100);
    private static final ModelRef SMALL = new ModelRef("small", "");
    private static final ModelRef LARGE = new ModelRef("large", "");
    private static final ModelRef ADAPTER = new ModelRef("small", "a1");

    private final UnansweredLoadOrders orders = new UnansweredLoadOrders();

    @Test
    void anUnansweredOrderOfTheCurrentIncarnationAndCountReservesNothing() {
        orders.addSent(1, load(1, 4, LARGE));
        assertEquals(UnansweredLoadOrders.Reservation.NONE, orders.reservationFor(engine(1, 4)));
    }

    // Guards against an order from before a restart that is carried out after it.
    @Test
    void anOrderToAnEarlierIncarnationReservesMemoryUntilTheCountIsPast() {
        orders.addSent(1, load(1, 4, LARGE));
        assertEquals(
                new UnansweredLoadOrders.Reservation(40, 0), orders.reservationFor(engine(2, 0)));
        assertEquals(
                new UnansweredLoadOrders.Reservation(40, 0), orders.reservationFor(engine(2, 4)));
        assertEquals(UnansweredLoadOrders.Reservation.NONE, orders.reservationFor(engine(2, 5)));
    }

    // Guards against an order that was planned with too high a count.
    @Test
    void anOrderOfALaterCountReservesMemoryInItsOwnIncarnationToo() {
        orders.addSent(1, load(1, 5, ADAPTER));
        assertEquals(
                new UnansweredLoadOrders.Reservation(2, 1), orders.reservationFor(engine(1, 4)));
        assertEquals(UnansweredLoadOrders.Reservation.NONE, orders.reservationFor(engine(1, 5)));
    }

    @Test
    void ofOrdersThatNameOneCountOnlyTheLargestIsReserved() {
        orders.addSent(1, load(1, 4, LARGE));
        orders.addAnnounced(load(1, 4, SMALL));
        orders.addAnnounced(load(1, 6, SMALL));
        assertEquals(
                new UnansweredLoadOrders.Reservation(70, 0), orders.reservationFor(engine(2, 0)));
    }

    // Guards against orders of two incarnations that a third one carries out one after the other.
    @Test
    void afterARestartTheUnansweredOrdersOfAllCountsHaveToFitTogether() {
        orders.addSent(1, load(1, 1, LARGE));
        orders.addSent(2, load(2, 0, LARGE));
        EngineState engine = engine(2, 2);
        engine.setReservations(orders);
        assertEquals(UnansweredLoadOrders.Reservation.NONE, orders.reservationFor(engine));
        assertEquals(
                new UnansweredLoadOrders.Reservation(80, 0),
                orders.reservationAfterRestart(engine));
        assertFalse(engine.wouldFitAfterRestart(SMALL));
        assertTrue(engine.wouldFitAfterRestart(ADAPTER));
    }

    @Test
    void anOrderMayRepeatTheCountOfAnUnansweredOne() {
        orders.addSent(1, load(1, 0, LARGE));
        orders.addSent(2, load(1, 1, LARGE));
        EngineState engine = engine(1, 1);
        engine.setReservations(orders);
        assertTrue(engine.wouldFitAfterRestart(LARGE));
    }

    @Test
    void answeredAndExpiredOrdersReserveNothing() {
        orders.addSent(1, load(1, 4, LARGE));
        orders.addSent(2, load(1, 5, LARGE));
        orders.removeAnswered(ONE, 1);
        assertEquals(
                new UnansweredLoadOrders.Reservation(40, 0), orders.reservationFor(engine(2, 0)));
        orders.removeExpired(SENT.plusSeconds(16));
        assertEquals(UnansweredLoadOrders.Reservation.NONE, orders.reservationFor(engine(2, 0)));
    }

    private static UnansweredLoadOrder load(long incarnation, long sequence, ModelRef model) {
        return new UnansweredLoadOrder(ONE, incarnation, sequence, model, SENT);
    }

    private static EngineState engine(long incarnation, long sequence) {
        Duration time = Duration.ofSeconds(1);
        EngineSpec spec =
                new EngineSpec(
                        4,
                        1_000,
                        100,
                        8,
                        5,
                        Map.of(
                                "small", new ModelSpec("small", 30, time, time, time, 2),
                                "large", new ModelSpec("large", 40, time, time, time, 2)));
        return new EngineState(
                new KnownModels(spec),
                new UpstreamFacts(
                        ONE,
                        1,
                        "engines",
                        new Endpoint("127.0.0.1", 1),
                        "a",
                        4,
                        false,
                        Duration.ZERO,
                        new HeldModels(incarnation, sequence, Map.of()),
                        Set.of(),
                        Set.of()));
    }
}
