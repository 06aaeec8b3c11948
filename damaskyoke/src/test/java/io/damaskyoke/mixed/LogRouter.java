package io.damaskyoke.mixed;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.control.configuration.Configuration;
import io.damaskyoke.control.configuration.ConfigurationFollower;
import io.damaskyoke.control.configuration.ConfigurationSnapshot;
import io.damaskyoke.control.configuration.LogEntry;
import io.damaskyoke.control.configuration.LogKeys;
import io.damaskyoke.control.configuration.Ticket;
import io.damaskyoke.control.configuration.TicketSubmission;
import io.damaskyoke.platform.KeyValueStore;
import io.damaskyoke.platform.KeyValueStore.Condition;
import io.damaskyoke.platform.KeyValueStore.Write;
import io.damaskyoke.platform.PlatformException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** One router's configuration: the real follower and submissions over the shared store. */
final class LogRouter {
    private final ControlThread control;
    private final KeyValueStore store;
    private final Random random;
    private final Consumer<Configuration> inForce;
    private final Runnable beforeChange;
    private final ConfigurationFollower follower = new ConfigurationFollower();

    LogRouter(
            ControlThread control,
            KeyValueStore store,
            Random random,
            Runnable beforeChange,
            Consumer<Configuration> inForce) {
        this.control = control;
        this.store = store;
        this.random = random;
        this.beforeChange = beforeChange;
        this.inForce = inForce;
        control.every(Duration.ofSeconds(1), this::poll);
    }

    Configuration current() {
        return follower.current();
    }

    ConfigurationSnapshot snapshot() {
        return follower.snapshot();
    }

    /** Hears of a peer's whole state. */
    void restore(ConfigurationSnapshot snapshot) {
        control.run(
                () -> {
                    beforeChange.run();
                    applied(follower.restore(snapshot));
                });
    }

    /** Hears of entries from a peer, in no order. */
    void offer(List<LogEntry> entries) {
        List<LogEntry> shuffled = new ArrayList<>(entries);
        Collections.shuffle(shuffled, random);
        long head = entries.stream().mapToLong(LogEntry::sequence).max().orElse(0);
        control.run(() -> offered(shuffled, head));
    }

    /** An operator's ticket; the outcome comes once, unless this process ends. */
    void submit(Ticket ticket, Consumer<TicketSubmission.Action> outcome) {
        control.run(
                () ->
                        new Submission(TicketSubmission.validatingFirst(follower, random), outcome)
                                .feed(new TicketSubmission.Input.TicketSubmitted(ticket)));
    }

    private void poll() {
        read(
                follower.current().sequence() + 1,
                (entries, failure) -> {
                    if (entries != null && !entries.isEmpty()) {
                        offered(entries, entries.get(entries.size() - 1).sequence());
                    }
                });
    }

    private void offered(List<LogEntry> entries, long head) {
        beforeChange.run();
        applied(
                follower.on(
                        new ConfigurationFollower.EntriesReceived(entries, head, Optional.empty()),
                        control.clock().instant()));
    }

    private void applied(List<ConfigurationFollower.Action> actions) {
        for (ConfigurationFollower.Action action : actions) {
            if (action instanceof ConfigurationFollower.Action.ApplyConfiguration apply) {
                inForce.accept(apply.configuration());
            }
        }
    }

    private void read(long from, BiConsumer<List<LogEntry>, Throwable> then) {
        onControl(
                store.range(LogKeys.entry("t", from), LogKeys.entry("t", Long.MAX_VALUE), 10_000)
                        .thenApply(listing -> entries(listing.entries())),
                then);
    }

    static List<LogEntry> entries(List<KeyValueStore.Entry> found) {
        return found.stream()
                .map(
                        entry ->
                                new LogEntry(
                                        Long.parseLong(
                                                entry.key()
                                                        .substring(
                                                                entry.key().lastIndexOf('/') + 1)),
                                        entry.value()))
                .toList();
    }

    private <T> void onControl(CompletionStage<T> stage, BiConsumer<T, Throwable> then) {
        stage.whenComplete((value, failure) -> control.run(() -> then.accept(value, failure)));
    }

    private final class Submission {
        private final TicketSubmission machine;
        private final Consumer<TicketSubmission.Action> outcome;

        Submission(TicketSubmission machine, Consumer<TicketSubmission.Action> outcome) {
            this.machine = machine;
            this.outcome = outcome;
        }

        void feed(TicketSubmission.Input input) {
            beforeChange.run();
            long before = follower.current().sequence();
            List<TicketSubmission.Action> actions = machine.on(input, control.clock().instant());
            if (follower.current().sequence() > before) {
                inForce.accept(follower.current());
            }
            actions.forEach(this::carryOut);
        }

        private void carryOut(TicketSubmission.Action action) {
            if (action instanceof TicketSubmission.Action.ReadLog wanted) {
                long from = wanted.from();
                read(
                        from,
                        (entries, failure) ->
                                feed(failure == null ? logRead(entries, from) : failed(failure)));
            } else if (action instanceof TicketSubmission.Action.CreateEntry create) {
                create(create);
            } else if (action instanceof TicketSubmission.Action.Pause pause) {
                control.after(
                        pause.duration(), () -> feed(new TicketSubmission.Input.PauseElapsed()));
            } else {
                outcome.accept(action);
            }
        }

        private void create(TicketSubmission.Action.CreateEntry create) {
            String key = LogKeys.entry("t", create.sequence());
            onControl(
                    store.commit(
                            List.of(new Condition.Absent(key)),
                            List.of(new Write.Put(key, create.value(), 0))),
                    (result, failure) ->
                            feed(
                                    failure == null
                                            ? new TicketSubmission.Input.CreateAnswered(
                                                    result.committed())
                                            : failed(failure)));
        }

        private TicketSubmission.Input logRead(List<LogEntry> entries, long from) {
            long head = entries.isEmpty() ? from - 1 : entries.get(entries.size() - 1).sequence();
            return new TicketSubmission.Input.LogRead(entries, head);
        }

        private TicketSubmission.Input failed(Throwable failure) {
            Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
            return new TicketSubmission.Input.StoreFailed(((PlatformException) cause).code());
        }
    }
}
