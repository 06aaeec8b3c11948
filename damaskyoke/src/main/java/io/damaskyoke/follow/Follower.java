package io.damaskyoke.follow;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.platform.KeyValueStore.Change;
import io.damaskyoke.platform.KeyValueStore.Listing;
import io.damaskyoke.platform.PlatformException;
import io.damaskyoke.platform.PlatformException.Code;
import io.damaskyoke.platform.PolledStore;
import io.damaskyoke.platform.PolledStore.Changes;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Keeps a view of all keys under a prefix up to date: reads them, polls for changes, and reads them
 * again when the store has compacted its history. A call that is not answered in time is followed
 * by a second one in parallel, so that the view is never older than {@link
 * PollTiming#stalenessBound} while the store answers. During an outage of the store the last view
 * stays valid.
 *
 * <pre>{@code
 * Follower.of("upstreams").under("servers/").in(store).at(timing).on(control).counting(metrics)
 *         .build(listener).start();
 * }</pre>
 */
public final class Follower {
    private static final Logger LOG = LogManager.getLogger(Follower.class);

    /**
     * Half of the time that a new process may take to become useful, and short against every
     * staleness bound.
     */
    private static final Duration READ_RETRY = Duration.ofMillis(250);

    private static final Duration RETRY = Duration.ofMillis(300);

    /**
     * A store that is about to compact its history may answer for this long that nothing has
     * changed although something has. Changes found by the full read that follows may therefore be
     * older than the last answers suggest.
     */
    private static final Duration COMPACTION_DELAY = Duration.ofSeconds(2);

    private static final Duration CHECK_PERIOD = Duration.ofMillis(100);

    /** The longest time that a call of another process is held here. */
    private static final Duration MAX_POLL_WAIT = Duration.ofSeconds(2);

    /** The limit of unanswered calls; more would only add to the load of a slow store. */
    private static final int MAX_OPEN_CALLS = 8;

    private final String name;
    private final String prefix;
    private final PolledStore store;
    private final PollTiming timing;
    private final ControlThread control;
    private final Metrics metrics;
    private final GuardedListener listener;
    private final StoreView view = new StoreView();
    private final ChangePosition position = new ChangePosition();
    private final KnownKeys keys = new KnownKeys();
    private final ViewComparison comparison;
    private final SilenceLog silenceLog;
    private final Set<StoreCall> open = new HashSet<>();
    private final ViewWaiters waiters;
    private final StepTimer timer;
    private final Relay relay;
    private final ChangeHistory history = new ChangeHistory();
    private final LongPolls polls = new LongPolls(view, history);
    private StoreCall newest;
    private StoreCall confirming;
    private boolean reading = true;
    private boolean failing;
    private boolean fromRelay;
    private boolean changesMayBeOlder;
    private Instant fullReadAt = Instant.MIN;

    Follower(FollowerBuilder from, ChangeListener listener) {
        this.name = from.name;
        this.prefix = Objects.requireNonNull(from.prefix, "a follower needs a prefix: under(...)");
        this.store = Objects.requireNonNull(from.store, "a follower needs a store: in(...)");
        this.timing = Objects.requireNonNull(from.timing, "a follower needs poll timing: at(...)");
        this.control =
                Objects.requireNonNull(from.control, "a follower needs a control thread: on(...)");
        this.metrics =
                Objects.requireNonNull(from.metrics, "a follower needs metrics: counting(...)");
        this.relay = from.relay;
        Objects.requireNonNull(listener, "a follower needs a listener: build(...)");
        this.listener = new GuardedListener(name, listener, metrics);
        this.waiters = new ViewWaiters(control);
        this.timer = new StepTimer(control);
        this.silenceLog = new SilenceLog(name);
        this.comparison =
                new ViewComparison(
                        name,
                        () -> store.listPossiblyStale(prefix),
                        keys,
                        control,
                        metrics,
                        this::reload);
    }

    /** Starts building a follower whose keys are called by this name in logs and metrics. */
    public static FollowerBuilder of(String name) {
        return new FollowerBuilder(name);
    }

    /** Starts following and returns this follower. */
    public Follower start() {
        metrics.gauge("store_view_age_ms", "of", name, this::ageMillis);
        metrics.gauge("store_full_read_age_ms", "of", name, this::fullReadAgeMillis);
        read();
        control.every(CHECK_PERIOD, this::checkCalls);
        return this;
    }

    /** Returns the prefix of the followed keys. */
    public String prefix() {
        return prefix;
    }

    /** Returns true once all entries have been read for the first time. */
    public boolean hasReadOnce() {
        return view.asOf().isPresent();
    }

    /** Returns true while neither full reads nor calls for changes fail and the store is up. */
    public boolean upToDate() {
        return hasReadOnce() && !failing && store.up();
    }

    /** Returns how long ago the view was surely complete; empty before the first full read. */
    public Optional<Duration> age() {
        return view.age(now());
    }

    /**
     * Returns a time before which none of the changes happened that a listener is receiving just
     * now; {@link Instant#MIN} if no such time is known.
     */
    public Instant earliestChangeTime() {
        Instant complete = view.previousAsOf();
        boolean exact = !changesMayBeOlder || complete.equals(Instant.MIN);
        return exact ? complete : complete.minus(COMPACTION_DELAY);
    }

    /** Reads all entries again; {@link #whenCompleteUpTo} then waits for that full read. */
    public void reload() {
        if (!reading) {
            reading = true;
            read();
        }
    }

    /**
     * Calls back once: with {@code true} when all changes up to the moment are known here and the
     * listener has received them, or with {@code false} if the store has not confirmed that within
     * the limit. Asks the store if needed, in one call for all that wait.
     */
    public void whenCompleteUpTo(Instant moment, Duration limit, Consumer<Boolean> callback) {
        if (view.reaches(moment)) {
            callback.accept(true);
            return;
        }
        waiters.add(moment, limit, callback);
        askForWaiters();
    }

    /**
     * Answers another process with the changes after the revision, as the store would: at once,
     * when a change arrives, or with none at the end of the wait. The answer is empty if this view
     * is outdated or comes from a relay itself; the other process then has to ask the store.
     */
    public void answerPoll(long after, Duration wait, Consumer<Optional<Changes>> callback) {
        if (!canAnswerPolls()) {
            callback.accept(Optional.empty());
            return;
        }
        Duration longest = wait.compareTo(MAX_POLL_WAIT) < 0 ? wait : MAX_POLL_WAIT;
        polls.add(after, now().plus(longest), callback, now());
    }

    private boolean canAnswerPolls() {
        boolean current = hasReadOnce() && !reading && !failing && !fromRelay;
        return current && view.age(now()).orElseThrow().compareTo(timing.stalenessBound()) <= 0;
    }

    private void answerPolls() {
        if (polls.isEmpty()) {
            return;
        }
        if (canAnswerPolls()) {
            polls.answerReady(now());
        } else {
            polls.rejectAll();
        }
    }

    private void release() {
        waiters.completeReached(view);
        if (!waiters.isEmpty()) {
            askForWaiters();
        }
    }

    // One call at a time: those who arrive while it is under way are served by the next.
    private void askForWaiters() {
        if (reading || open.contains(confirming) || open.size() >= MAX_OPEN_CALLS) {
            return;
        }
        confirming = new StoreCall(now(), Duration.ZERO, () -> {});
        open.add(confirming);
        send(confirming);
    }

    private Instant now() {
        return control.clock().instant();
    }

    private long ageMillis() {
        return age().map(Duration::toMillis).orElse(-1L);
    }

    private long fullReadAgeMillis() {
        boolean never = fullReadAt.equals(Instant.MIN);
        return never ? -1 : Duration.between(fullReadAt, now()).toMillis();
    }

    /**
     * Returns the longest time that can have passed since the store acknowledged the changes that a
     * listener is receiving just now; empty if that is not known.
     */
    public Optional<Duration> maxChangeAge() {
        Instant earliest = earliestChangeTime();
        return earliest.equals(Instant.MIN)
                ? Optional.empty()
                : Optional.of(Duration.between(earliest, now()));
    }

    private void recordChangeAge() {
        maxChangeAge()
                .ifPresent(
                        age ->
                                metrics.histogram("store_change_age_ms", "of", name)
                                        .update(age.toMillis()));
    }

    private void read() {
        StoreCall call = begin(new StoreCall(now(), Duration.ZERO, this::read));
        store.list(prefix, () -> control.run(() -> call.progressed(now())))
                .whenComplete(
                        (found, failure) -> control.run(() -> readAnswered(call, found, failure)));
    }

    private void readAnswered(StoreCall call, Listing found, Throwable failure) {
        open.remove(call);
        if (found == null) {
            if (!failing) {
                LOG.warn(
                        "failed to read {} from the store, retrying: {}",
                        name,
                        failure.getMessage());
            }
            failing = true;
            if (call == newest) {
                timer.schedule(READ_RETRY, this::read);
            }
            return;
        }
        if (!reading) {
            // A parallel full read was answered first.
            return;
        }
        reading = false;
        failing = false;
        fromRelay = false;
        List<Change> differences = keys.missingFrom(found);
        if (hasReadOnce()) {
            history.addFoundBy(found.revision(), differences);
        } else {
            history.startAt(found.revision());
        }
        position.receivedUpTo(found.revision());
        keys.replaceBy(found);
        comparison.fullyRead(found.entries().size());
        Instant answered = call.latestAnswerTime(now());
        Duration silence = confirm(call, call.sentAt(), answered, found.revision(), Source.READING);
        fullReadAt = call.sentAt();
        changesMayBeOlder = true;
        listener.entriesRead(found, differences, silence);
        ask(timing.maxWait());
        release();
    }

    private void ask(Duration maxWait) {
        if (reading) {
            // Polling continues when the full read is answered.
            return;
        }
        // A call that doesn't wait is made to confirm the view, which only the store itself can do.
        boolean relayed = !maxWait.isZero() && relay.available();
        Duration wait = relayed ? timing.atRelay().maxWait() : maxWait;
        send(begin(new StoreCall(now(), wait, () -> ask(Duration.ZERO), relayed)));
    }

    private void send(StoreCall call) {
        CompletionStage<Changes> answer =
                call.relayed()
                        ? relay.changes(prefix, position.revision(), call.maxWait())
                        : store.changes(prefix, position.revision(), call.maxWait());
        answer.whenComplete(
                (changes, failure) -> control.run(() -> answered(call, changes, failure)));
    }

    private StoreCall begin(StoreCall call) {
        timer.cancel();
        newest = call;
        open.add(call);
        return call;
    }

    private void checkCalls() {
        answerPolls();
        if (!open.contains(newest)) {
            resume();
        } else if (!now().isBefore(newest.overdueAt()) && open.size() < MAX_OPEN_CALLS) {
            retryOverdue();
        }
        compareIfDue();
    }

    private void compareIfDue() {
        if (!hasReadOnce() || reading || age().orElseThrow().compareTo(longestAge()) > 0) {
            return;
        }
        comparison.check(view.revision(), fromRelay || relay.available());
    }

    private Duration longestAge() {
        return fromRelay ? relayedBound() : timing.stalenessBound();
    }

    // A call that is under way when the store becomes unavailable may never be answered, not even
    // after the store's return, and no change is received until it is given up. A parallel call
    // costs little. Both may still be answered; changes that are known already are left out.
    private void retryOverdue() {
        metrics.count("store_asks_overdue", "of", name);
        reportSilence(newest, "no answer in time");
        newest.retry().run();
    }

    // The VM was paused during a planned wait, or a step of this follower threw an exception.
    private void resume() {
        if (!timer.isMissingOrOverdue(CHECK_PERIOD)) {
            return;
        }
        if (reading) {
            read();
        } else {
            ask(Duration.ZERO);
        }
    }

    private void answered(StoreCall call, Changes changes, Throwable failure) {
        open.remove(call);
        if (reading) {
            return;
        }
        if (changes == null) {
            failed(call, failure);
            return;
        }
        List<Change> unseen =
                changes.changes().stream()
                        .filter(change -> change.revision() > position.revision())
                        .toList();
        // An earlier answer left out a change of a revision that it claimed to cover.
        changesMayBeOlder = !unseen.isEmpty() && unseen.get(0).revision() <= view.revision();
        fromRelay = call.relayed();
        Duration age = changes.age();
        Instant completeUpTo = call.completeUpTo(now(), changes.changes().isEmpty()).minus(age);
        Instant answered = call.latestAnswerTime(now()).minus(age);
        Duration silence =
                confirm(call, completeUpTo, answered, changes.revision(), Source.CHANGES);
        if (unseen.isEmpty()) {
            position.unchangedUpTo(changes.revision(), call.sentAt().minus(age), now());
        } else {
            position.receivedUpTo(unseen.get(unseen.size() - 1).revision());
            keys.apply(unseen);
            history.add(unseen);
            recordChangeAge();
            listener.entriesChanged(unseen, silence);
        }
        answerPolls();
        if (call == newest) {
            askNext(call);
        }
        release();
    }

    private void askNext(StoreCall call) {
        // The VM was paused: a call that waits would delay the changes made during the pause.
        boolean outdated = view.age(now()).orElseThrow().compareTo(bound(call)) > 0;
        if (outdated) {
            ask(Duration.ZERO);
            return;
        }
        PollTiming asked = call.relayed() ? timing.atRelay() : timing;
        Instant next = call.sentAt().plus(asked.minInterval());
        Duration pause = Duration.between(now(), next);
        if (pause.isNegative() || pause.isZero()) {
            ask(timing.maxWait());
        } else {
            timer.schedule(pause, () -> ask(timing.maxWait()));
        }
    }

    private Duration bound(StoreCall call) {
        return call.relayed() ? relayedBound() : timing.stalenessBound();
    }

    // A relay's answer is as old as the relay's own view, plus the duration of the call to it.
    private Duration relayedBound() {
        return timing.stalenessBound().plus(timing.atRelay().stalenessBound());
    }

    private void failed(StoreCall call, Throwable failure) {
        if (call.relayed()) {
            metrics.count("store_relays_failed", "of", name);
            if (call == newest) {
                ask(Duration.ZERO);
            }
            return;
        }
        if (canNeverBeAnswered(failure)) {
            LOG.info(
                    "the changes of {} after revision {} can't be received, reading all of it"
                            + " again: {}",
                    name,
                    position.revision(),
                    failure.getMessage());
            failing = true;
            reload();
            return;
        }
        metrics.count("store_asks_failed", "of", name);
        comparison.callFailed();
        if (call == newest) {
            reportSilence(call, failure.getMessage());
            timer.schedule(RETRY, () -> ask(Duration.ZERO));
        }
    }

    private void reportSilence(StoreCall call, String why) {
        silenceLog.unanswered(why, call.age(now()), position.revision(), ageMillis());
    }

    // The same call would fail again: its changes are gone, or too many for one answer.
    private static boolean canNeverBeAnswered(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof PlatformException known
                && (known.code() == Code.COMPACTED || known.code() == Code.TOO_LARGE);
    }

    private Duration confirm(
            StoreCall call, Instant completeUpTo, Instant answered, long revision, Source source) {
        silenceLog.answered(source, call.age(now()), revision, ageMillis());
        return view.confirm(completeUpTo, answered, revision);
    }

    /** The kind of call that an answer belongs to. */
    private enum Source {
        READING,
        CHANGES
    }
}
