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
    void noTicketAcceptedBeforeTheConfirmedTimeIsMissing(@ForAll long seed) {
        assertEquals(List.of(), new World(seed, false).run().faults);
    }

    /** Shows that the property can fail, and that the real implementation does confirm. */
    @Test
    void theNaiveVersionConfirmsWhileAnAcceptedTicketIsMissing() {
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
    void aWriteOfUnknownOutcomeIsUnsettledUntilItsSequenceNumberIsTaken() {
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
    void aRouterThatIsNotOnTheListOfVmsAcceptsNoTickets() {
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
        private OutageConfirmation confirmation;
        private PendingWrites pendingWrites;
        private Incarnation incarnation;
        private Instant listedAt;
        private Instant started;
        private Optional<Instant> confirmed;
        private long head;
        private boolean writing;
        private boolean reachesStore = true;

        private Router(int number) {
            vm = VmId.of("router-" + number);
        }

        private OutageInput.RouterState word() {
            boolean confirmedSinceStart = confirmed.filter(at -> !at.isBefore(started)).isPresent();
            return new OutageInput.RouterState(
                    head, pendingWrites.isSettled(head), confirmedSinceStart);
        }
    }

    /**
     * A message in flight; {@code writer} is set only for a write that has not reached the store.
     */
    private record Message(Optional<Router> writer, Runnable delivery) {}

    private static final class World {
        private final SplittableRandom random;
        private final boolean naive;
        private final List<Router> all = new ArrayList<>();
        private final List<Router> listed = new ArrayList<>();
        private final List<Instant> log = new ArrayList<>();
        private final List<Message> inFlight = new ArrayList<>();
        private final List<String> faults = new ArrayList<>();
        private Instant now = Instant.EPOCH;
        private int incarnations;
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

        private void act(Router router) {
            int dice = random.nextInt(1_000);
            if (dice < 250) {
                tick(router);
            } else if (dice < 750) {
                deliver();
            } else if (dice < 850) {
                router.confirmation.on(listing(), now);
            } else if (dice < 900) {
                readStore(router);
            } else if (dice < 940) {
                follow(router, all.get(random.nextInt(all.size())));
            } else if (dice < 970) {
                write(router);
            } else if (dice < 985) {
                router.reachesStore = random.nextInt(4) == 0;
            } else if (dice < 988) {
                restart(router);
            } else if (dice < 990) {
                leave(router);
            } else if (dice < 992 && all.size() < 6) {
                join();
            }
        }

        private void join() {
            Router router = new Router(++incarnations);
            start(router);
            router.listedAt = now;
            all.add(router);
            listed.add(router);
        }

        private void start(Router router) {
            router.incarnation = Incarnation.of(router.vm + ":" + ++incarnations);
            router.confirmation = OutageConfirmation.of(router.vm);
            router.pendingWrites = new PendingWrites();
            router.started = now;
            router.confirmed = Optional.empty();
            router.head = 0;
            router.writing = false;
        }

        /** No router joins, writes a ticket and leaves within ten seconds: see the design note. */
        private boolean mayLeave(Router router) {
            return now.isAfter(router.listedAt.plusSeconds(11));
        }

        private void restart(Router router) {
            if (!mayLeave(router)) {
                return;
            }
            inFlight.removeIf(message -> message.writer().equals(Optional.of(router)));
            start(router);
        }

        /**
         * A VM leaves for good. Its writes in flight are lost: see the limits in the design note.
         */
        private void leave(Router router) {
            if (all.size() > 2 && mayLeave(router)) {
                inFlight.removeIf(message -> message.writer().equals(Optional.of(router)));
                all.remove(router);
                listed.remove(router);
            }
        }

        private OutageInput listing() {
            return new OutageInput.RoutersListed(
                    listed.stream().map(router -> router.vm).collect(Collectors.toSet()), now);
        }

        private void readStore(Router router) {
            if (router.reachesStore) {
                router.head = log.size();
                confirm(router, now);
            }
        }

        /** Applies a relay's answer to its follower. */
        private void follow(Router router, Router relay) {
            router.head = Math.max(router.head, relay.head);
            if (router.head == relay.head) {
                relay.confirmed.ifPresent(asOf -> confirm(router, asOf));
            }
        }

        private void confirm(Router router, Instant asOf) {
            if (log.stream().skip(router.head).anyMatch(accepted -> accepted.isBefore(asOf))) {
                faults.add(router.vm + " confirmed " + router.head + " as of " + asOf);
            }
            if (router.confirmed.isEmpty() || router.confirmed.get().isBefore(asOf)) {
                router.confirmed = Optional.of(asOf);
            }
            router.confirmation.on(new OutageInput.Confirmed(router.confirmed.get()), now);
        }

        private void tick(Router router) {
            if (naive) {
                if (!router.reachesStore && router.confirmation.isNeeded(now)) {
                    confirm(router, now);
                }
                return;
            }
            for (OutageAction action :
                    router.confirmation.on(new OutageInput.Tick(router.word()), now)) {
                if (action instanceof OutageAction.AskRouter ask) {
                    send(() -> answer(router, ask));
                } else if (action instanceof OutageAction.Confirm it && it.head() <= router.head) {
                    confirmed++;
                    confirm(router, it.asOf());
                }
            }
        }

        private void answer(Router asker, OutageAction.AskRouter ask) {
            Incarnation askerIncarnation = asker.incarnation;
            all.stream()
                    .filter(router -> router.vm.equals(ask.router()))
                    .findFirst()
                    .ifPresent(
                            router -> {
                                OutageInput.RouterState word = router.word();
                                Incarnation incarnation = router.incarnation;
                                send(
                                        () ->
                                                receive(
                                                        asker,
                                                        askerIncarnation,
                                                        router.vm,
                                                        incarnation,
                                                        ask,
                                                        word));
                            });
        }

        private void receive(
                Router asker,
                Incarnation askerIncarnation,
                VmId from,
                Incarnation incarnation,
                OutageAction.AskRouter ask,
                OutageInput.RouterState word) {
            if (asker.incarnation.equals(askerIncarnation)) {
                asker.head = Math.max(asker.head, word.head());
                asker.confirmation.on(
                        new OutageInput.RouterAnswered(from, incarnation, ask.number(), word), now);
            }
        }

        private void write(Router router) {
            if (router.reachesStore && !router.writing) {
                long sequence = router.head + 1;
                router.writing = true;
                router.pendingWrites.writeStarted(sequence);
                Incarnation incarnation = router.incarnation;
                boolean answerLost = random.nextInt(3) == 0;
                inFlight.add(
                        new Message(
                                Optional.of(router),
                                () -> {
                                    boolean created = log.size() == sequence - 1;
                                    if (created) {
                                        log.add(now);
                                    }
                                    if (!answerLost) {
                                        send(
                                                () ->
                                                        answerArrived(
                                                                router,
                                                                incarnation,
                                                                sequence,
                                                                created));
                                    }
                                }));
                if (answerLost) {
                    send(() -> answerMissing(router, incarnation));
                }
            }
        }

        private void answerArrived(
                Router router, Incarnation incarnation, long sequence, boolean created) {
            if (router.incarnation.equals(incarnation)) {
                router.writing = false;
                router.pendingWrites.writeAnswered();
                router.head = created ? Math.max(router.head, sequence) : router.head;
            }
        }

        private void answerMissing(Router router, Incarnation incarnation) {
            if (router.incarnation.equals(incarnation)) {
                router.writing = false;
                router.pendingWrites.writeFailed(Code.OUTCOME_UNKNOWN);
            }
        }

        private void send(Runnable delivery) {
            inFlight.add(new Message(Optional.empty(), delivery));
        }

        /**
         * Delivers a random message in flight; answers may be lost, but no write takes partial
         * effect.
         */
        private void deliver() {
            if (!inFlight.isEmpty()) {
                Message message = inFlight.remove(random.nextInt(inFlight.size()));
                message.delivery().run();
            }
        }
    }
}
