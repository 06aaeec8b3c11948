package io.damaskyoke.control.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.damaskyoke.control.TestControlThread;
import io.damaskyoke.control.relay.OutageAction;
import io.damaskyoke.control.relay.OutageConfirmation;
import io.damaskyoke.control.relay.OutageInput;
import io.damaskyoke.id.Incarnation;
import io.damaskyoke.id.VmId;
import io.damaskyoke.platform.FakeStore;
import io.damaskyoke.platform.PlatformException.Code;
import io.damaskyoke.timeline.HybridClock;
import io.damaskyoke.timeline.Timeline;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/**
 * Guards against a withdrawn key that keeps working: a configuration confirmed as of some time must
 * include every ticket accepted before it. The simulated routers lose and regain the store and each
 * other, lose answers to writes, freeze (their messages wait), restart, join and leave. The naive
 * version assumes that nothing changes during an outage.
 */
class OutageConfirmationTest {
    private static final int STEPS = 1_500;

    @Property(seed = "20261203", tries = 300)
    void nothingAcceptedBeforeTheMomentConfirmedIsMissing(@ForAll long seed) {
        assertEquals(List.of(), new World(seed, false).run().faults);
    }

    /** Shows that the property can fail, and that the real implementation does confirm. */
    @Test
    void theNaiveVersionConfirmsPastAWithdrawnKey() {
        assertTrue(
                LongStream.range(0, 20).anyMatch(s -> !new World(s, true).run().faults.isEmpty()));
        assertTrue(LongStream.range(0, 20).allMatch(s -> new World(s, false).run().confirmed > 0));
    }

    /**
     * Guards against peers relying on a router whose write may have reached the store. The answer
     * is lost in an outage, so the write stays unconfirmed until the store is back and the sequence
     * number is known to be taken.
     */
    @Test
    void aWriteOfUnknownOutcomeIsOpenUntilItsPlaceIsKnown() {
        TestControlThread control = new TestControlThread();
        FakeStore store = new FakeStore();
        ConfigurationService service = service(control, store);
        assertTrue(service.isSettled());
        store.loseAnswerAndGoDown();
        service.submit(SampleTickets.workspace(1, "a", 10));
        assertFalse(service.isSettled());
        control.advance(Duration.ofMinutes(1));
        assertFalse(service.isSettled());
        store.down(false);
        service.refresh();
        assertEquals(1, service.current().sequence());
        assertTrue(service.isSettled());
    }

    /**
     * In an outage the other routers could not ask an unlisted router; once listed, it submits its
     * queued tickets.
     */
    @Test
    void aRouterThatTheListDoesNotNameTakesNoTickets() {
        TestControlThread control = new TestControlThread();
        ConfigurationService service = service(control, new FakeStore());
        service.acceptTickets(false);
        var late = service.submit(SampleTickets.workspace(1, "a", 10)).toCompletableFuture();
        control.advance(Duration.ofSeconds(11));
        assertTrue(late.join() instanceof TicketResult.Refused, late.toString());
        service.submit(SampleTickets.workspace(2, "b", 10));
        assertEquals(0, service.current().sequence());
        service.acceptTickets(true);
        assertEquals(1, service.current().sequence());
    }

    private static ConfigurationService service(TestControlThread control, FakeStore store) {
        Timeline timeline = Timeline.of("r", HybridClock.over(control.clock()), 100);
        return ConfigurationService.builder(control, store, timeline)
                .followStore(false)
                .random(new SplittableRandom(1))
                .build()
                .start();
    }

    private static final class Router {
        private final VmId vm;
        private OutageConfirmation machine;
        private PendingWrites pending;
        private Incarnation life;
        private Instant listedAt;
        private Instant started;
        private Optional<Instant> confirmed;
        private long head;
        private boolean writing;
        private boolean reachesStore = true;

        private Router(int number) {
            vm = VmId.of("router-" + number);
        }

        private OutageInput.Word word() {
            boolean inThisLife = confirmed.filter(at -> !at.isBefore(started)).isPresent();
            return new OutageInput.Word(head, pending.isSettled(head), inThisLife);
        }
    }

    /**
     * A message in flight; {@code writer} is set only for a write that has not reached the store.
     */
    private record Flight(Optional<Router> writer, Runnable arrival) {}

    private static final class World {
        private final SplittableRandom random;
        private final boolean naive;
        private final List<Router> all = new ArrayList<>();
        private final List<Router> listed = new ArrayList<>();
        private final List<Instant> log = new ArrayList<>();
        private final List<Flight> flying = new ArrayList<>();
        private final List<String> faults = new ArrayList<>();
        private Instant now = Instant.EPOCH;
        private int lives;
        private int confirmed;

        private World(long seed, boolean naive) {
            this.random = new SplittableRandom(seed);
            this.naive = naive;
        }

        private World run() {
            for (int i = 0; i < 2 + random.nextInt(3); i++) {
                join();
            }
            for (int step = 0; step < STEPS; step++) {
                now = now.plusMillis(random.nextInt(200));
                act(all.get(random.nextInt(all.size())));
            }
            return this;
        }

        private void act(Router one) {
            int dice = random.nextInt(1_000);
            if (dice < 250) {
                tick(one);
            } else if (dice < 750) {
                arrive();
            } else if (dice < 850) {
                one.machine.on(listing(), now);
            } else if (dice < 900) {
                readStore(one);
            } else if (dice < 940) {
                follow(one, all.get(random.nextInt(all.size())));
            } else if (dice < 970) {
                write(one);
            } else if (dice < 985) {
                one.reachesStore = random.nextInt(4) == 0;
            } else if (dice < 988) {
                restart(one);
            } else if (dice < 990) {
                leave(one);
            } else if (dice < 992 && all.size() < 6) {
                join();
            }
        }

        private void join() {
            Router router = new Router(++lives);
            live(router);
            router.listedAt = now;
            all.add(router);
            listed.add(router);
        }

        private void live(Router router) {
            router.life = Incarnation.of(router.vm + ":" + ++lives);
            router.machine = OutageConfirmation.of(router.vm);
            router.pending = new PendingWrites();
            router.started = now;
            router.confirmed = Optional.empty();
            router.head = 0;
            router.writing = false;
        }

        /** No router joins, writes a ticket and leaves within ten seconds: see the design note. */
        private boolean mayGo(Router router) {
            return now.isAfter(router.listedAt.plusSeconds(11));
        }

        private void restart(Router router) {
            if (!mayGo(router)) {
                return;
            }
            flying.removeIf(flight -> flight.writer().equals(Optional.of(router)));
            live(router);
        }

        /**
         * A VM leaves for good. Its writes in flight are lost: see the limits in the design note.
         */
        private void leave(Router router) {
            if (all.size() > 2 && mayGo(router)) {
                flying.removeIf(flight -> flight.writer().equals(Optional.of(router)));
                all.remove(router);
                listed.remove(router);
            }
        }

        private OutageInput listing() {
            return new OutageInput.Listed(
                    listed.stream().map(router -> router.vm).collect(Collectors.toSet()), now);
        }

        private void readStore(Router router) {
            if (router.reachesStore) {
                router.head = log.size();
                confirm(router, now);
            }
        }

        /** Applies a relay's answer to its follower. */
        private void follow(Router one, Router relay) {
            one.head = Math.max(one.head, relay.head);
            if (one.head == relay.head) {
                relay.confirmed.ifPresent(asOf -> confirm(one, asOf));
            }
        }

        private void confirm(Router router, Instant asOf) {
            if (log.stream().skip(router.head).anyMatch(accepted -> accepted.isBefore(asOf))) {
                faults.add(router.vm + " confirmed " + router.head + " as of " + asOf);
            }
            if (router.confirmed.isEmpty() || router.confirmed.get().isBefore(asOf)) {
                router.confirmed = Optional.of(asOf);
            }
            router.machine.on(new OutageInput.Confirmed(router.confirmed.get()), now);
        }

        private void tick(Router router) {
            if (naive) {
                if (!router.reachesStore && router.machine.needed(now)) {
                    confirm(router, now);
                }
                return;
            }
            for (OutageAction action :
                    router.machine.on(new OutageInput.Tick(router.word()), now)) {
                if (action instanceof OutageAction.Ask ask) {
                    fly(() -> answer(router, ask));
                } else if (action instanceof OutageAction.Confirm it && it.head() <= router.head) {
                    confirmed++;
                    confirm(router, it.asOf());
                }
            }
        }

        private void answer(Router asker, OutageAction.Ask ask) {
            Incarnation askerLife = asker.life;
            all.stream()
                    .filter(router -> router.vm.equals(ask.router()))
                    .findFirst()
                    .ifPresent(
                            router -> {
                                OutageInput.Word word = router.word();
                                Incarnation life = router.life;
                                fly(() -> take(asker, askerLife, router.vm, life, ask, word));
                            });
        }

        private void take(
                Router asker,
                Incarnation askerLife,
                VmId from,
                Incarnation life,
                OutageAction.Ask ask,
                OutageInput.Word word) {
            if (asker.life.equals(askerLife)) {
                asker.head = Math.max(asker.head, word.head());
                asker.machine.on(new OutageInput.Answered(from, life, ask.number(), word), now);
            }
        }

        private void write(Router router) {
            if (router.reachesStore && !router.writing) {
                long place = router.head + 1;
                router.writing = true;
                router.pending.writeStarted(place);
                Incarnation life = router.life;
                boolean answerLost = random.nextInt(3) == 0;
                flying.add(
                        new Flight(
                                Optional.of(router),
                                () -> {
                                    boolean created = log.size() == place - 1;
                                    if (created) {
                                        log.add(now);
                                    }
                                    if (!answerLost) {
                                        fly(() -> written(router, life, place, created));
                                    }
                                }));
                if (answerLost) {
                    fly(() -> unanswered(router, life));
                }
            }
        }

        private void written(Router router, Incarnation life, long place, boolean created) {
            if (router.life.equals(life)) {
                router.writing = false;
                router.pending.writeAnswered();
                router.head = created ? Math.max(router.head, place) : router.head;
            }
        }

        private void unanswered(Router router, Incarnation life) {
            if (router.life.equals(life)) {
                router.writing = false;
                router.pending.writeFailed(Code.OUTCOME_UNKNOWN);
            }
        }

        private void fly(Runnable arrival) {
            flying.add(new Flight(Optional.empty(), arrival));
        }

        /**
         * Delivers a random message in flight; answers may be lost, but no write takes partial
         * effect.
         */
        private void arrive() {
            if (!flying.isEmpty()) {
                Flight flight = flying.remove(random.nextInt(flying.size()));
                flight.arrival().run();
            }
        }
    }
}
