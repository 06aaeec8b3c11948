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
 * Keeps up with all keys under a prefix: reads them, asks for changes, and reads them anew when the
 * store has dropped its history. A call that is not answered in time is followed by another beside
 * it, so that what is known is never older than {@link Pace#bound} while the store answers. While
 * it is out, what was heard last stands.
 *
 * <pre>{@code
 * Follower.of("upstreams").under("servers/").in(store).at(pace).on(control).counting(metrics)
 *         .tell(listener).start();
 * }</pre>
 */
public final class Follower {
    private static final Logger LOG = LogManager.getLogger(Follower.class);

    /** Half of what a new process may take to be of use; short against every bound. */
    private static final Duration READ_RETRY = Duration.ofMillis(250);

    private static final Duration RETRY = Duration.ofMillis(300);

    /**
     * A store that is about to drop its history may say for so long that nothing has changed when
     * something has; what a reading then shows is older than the last answers let one think.
     */
    private static final Duration MUTE = Duration.ofSeconds(2);

    private static final Duration LOOK = Duration.ofMillis(100);

    /** Nobody may have a call held here for longer. */
    private static final Duration LONGEST_HELD = Duration.ofSeconds(2);

    /** Calls without an answer; more of them would only add to the load of a slow store. */
    private static final int MOST_OPEN = 8;

    private final String name;
    private final String prefix;
    private final PolledStore store;
    private final Pace pace;
    private final ControlThread control;
    private final Metrics metrics;
    private final ChangeListener listener;
    private final View view = new View();
    private final Set<Call> open = new HashSet<>();
    private final Waiters waiters;
    private final Planned planned;
    private final Relay relay;
    private final ChangeHistory history = new ChangeHistory();
    private final HeldAsks asks = new HeldAsks(view, history);
    private Call newest;
    private Call beside;
    private boolean reading = true;
    private boolean failing;
    private boolean silent;
    private boolean byRelay;
    private boolean readingTold;

    Follower(FollowerBuilder from, ChangeListener listener) {
        this.name = from.name;
        this.prefix = Objects.requireNonNull(from.prefix, "a follower needs a prefix: under(...)");
        this.store = Objects.requireNonNull(from.store, "a follower needs a store: in(...)");
        this.pace = Objects.requireNonNull(from.pace, "a follower needs a pace: at(...)");
        this.control = Objects.requireNonNull(from.control, "a follower needs a thread: on(...)");
        this.metrics =
                Objects.requireNonNull(from.metrics, "a follower needs metrics: counting(...)");
        this.relay = from.relay;
        this.listener = Objects.requireNonNull(listener, "a follower needs somebody to tell");
        this.waiters = new Waiters(control);
        this.planned = new Planned(control);
    }

    /** Begins to make a follower; logs and metrics call what it follows by this name. */
    public static FollowerBuilder of(String name) {
        return new FollowerBuilder(name);
    }

    /** Begins; returns this. */
    public Follower start() {
        metrics.gauge("store_view_age_ms", "of", name, this::ageMillis);
        read();
        control.every(LOOK, this::look);
        return this;
    }

    /** What the followed keys begin with. */
    public String prefix() {
        return prefix;
    }

    /** True once everything was read. */
    public boolean everRead() {
        return view.asOf().isPresent();
    }

    /** True while neither a reading nor a call for changes is failing. */
    public boolean upToDate() {
        return everRead() && !failing && store.up();
    }

    /** How long ago what is known here was surely complete; empty before the first reading. */
    public Optional<Duration> age() {
        return view.age(now());
    }

    /**
     * For a listener that is being told news: none of it had happened at this moment. {@link
     * Instant#MIN} if that isn't known.
     */
    public Instant newsSince() {
        Instant complete = view.asOfBefore();
        boolean surely = !readingTold || complete.equals(Instant.MIN);
        return surely ? complete : complete.minus(MUTE);
    }

    /** Reads everything anew, so that {@link #whenKnown} waits for a reading. */
    public void readAnew() {
        if (!reading) {
            reading = true;
            read();
        }
    }

    /**
     * Tells, once, when everything up to the moment is known here; the listener has heard of it
     * then. Asks for it if need be, together with others who wait. Tells {@code false} if the store
     * hasn't said so within the limit.
     */
    public void whenKnown(Instant moment, Duration limit, Consumer<Boolean> told) {
        if (view.reaches(moment)) {
            told.accept(true);
            return;
        }
        waiters.add(moment, limit, told);
        askBeside();
    }

    /**
     * Tells another process what has changed after the revision, as the store would: at once, when
     * it comes, or that there was nothing at the end of the wait. Tells nothing if that isn't known
     * here at first hand and of late; the other has to ask the store then.
     */
    public void tell(long after, Duration wait, Consumer<Optional<Changes>> told) {
        if (!mayPassOn()) {
            told.accept(Optional.empty());
            return;
        }
        Duration longest = wait.compareTo(LONGEST_HELD) < 0 ? wait : LONGEST_HELD;
        asks.add(after, now().plus(longest), told, now());
    }

    private boolean mayPassOn() {
        boolean sure = everRead() && !reading && !failing && !byRelay;
        return sure && view.age(now()).orElseThrow().compareTo(pace.bound()) <= 0;
    }

    private void passOn() {
        if (asks.isEmpty()) {
            return;
        }
        if (mayPassOn()) {
            asks.answer(now());
        } else {
            asks.turnAway();
        }
    }

    private void release() {
        waiters.release(view);
        if (!waiters.isEmpty()) {
            askBeside();
        }
    }

    // One at a time: whoever comes meanwhile is served by the next.
    private void askBeside() {
        if (reading || open.contains(beside) || open.size() >= MOST_OPEN) {
            return;
        }
        beside = new Call(now(), Duration.ZERO, () -> {});
        open.add(beside);
        send(beside);
    }

    private Instant now() {
        return control.clock().instant();
    }

    private long ageMillis() {
        return age().map(Duration::toMillis).orElse(-1L);
    }

    private void read() {
        Call call = begin(new Call(now(), Duration.ZERO, this::read));
        store.list(prefix)
                .whenComplete((found, failure) -> control.run(() -> took(call, found, failure)));
    }

    private void took(Call call, Listing found, Throwable failure) {
        open.remove(call);
        if (found == null) {
            if (!failing) {
                LOG.warn("can't read {} from the store: {}", name, failure.getMessage());
            }
            failing = true;
            if (call == newest) {
                planned.in(READ_RETRY, this::read);
            }
            return;
        }
        if (!reading) {
            // Another reading, sent beside this one, was answered first.
            return;
        }
        reading = false;
        failing = false;
        byRelay = false;
        history.startAt(found.revision());
        Instant answered = call.answeredBy(now());
        Duration silence = confirm(call, call.at(), answered, found.revision(), Source.READING);
        readingTold = true;
        listener.all(found.entries(), found.revision(), silence);
        ask(pace.patience());
        release();
    }

    private void ask(Duration patience) {
        if (reading) {
            // Goes on when the reading is answered.
            return;
        }
        // A call that doesn't wait is one that must know for sure: the store has to say.
        boolean relayed = !patience.isZero() && relay.available();
        Duration wait = relayed ? pace.atRelay().patience() : patience;
        send(begin(new Call(now(), wait, () -> ask(Duration.ZERO), relayed)));
    }

    private void send(Call call) {
        CompletionStage<Changes> told =
                call.relayed()
                        ? relay.changes(prefix, view.revision(), call.patience())
                        : store.changes(prefix, view.revision(), call.patience());
        told.whenComplete(
                (changes, failure) -> control.run(() -> answered(call, changes, failure)));
    }

    private Call begin(Call call) {
        planned.cancel();
        newest = call;
        open.add(call);
        return call;
    }

    private void look() {
        passOn();
        if (!open.contains(newest)) {
            goOn();
        } else if (!now().isBefore(newest.due()) && open.size() < MOST_OPEN) {
            askBesideUnanswered();
        }
    }

    // A call under way when the store goes away is never answered, also after its return, and hides
    // what happens until it is given up. One beside it needs no more than a moment. Both may still
    // be answered; what is known already is left out.
    private void askBesideUnanswered() {
        metrics.count("store_asks_overdue", "of", name);
        silent(newest, "no answer yet");
        newest.again().run();
    }

    // The VM stood still in a pause, or a listener failed at what it was told.
    private void goOn() {
        if (!planned.missing(LOOK)) {
            return;
        }
        if (reading) {
            read();
        } else {
            ask(Duration.ZERO);
        }
    }

    private void answered(Call call, Changes changes, Throwable failure) {
        open.remove(call);
        if (reading) {
            return;
        }
        if (changes == null) {
            failed(call, failure);
            return;
        }
        List<Change> news =
                changes.changes().stream()
                        .filter(change -> change.revision() > view.revision())
                        .toList();
        byRelay = call.relayed();
        Duration age = changes.age();
        Instant goodUpTo = call.goodUpTo(now(), changes.changes().isEmpty()).minus(age);
        Instant answered = call.answeredBy(now()).minus(age);
        Duration silence = confirm(call, goodUpTo, answered, changes.revision(), Source.CHANGES);
        if (!news.isEmpty()) {
            history.add(news);
            readingTold = false;
            listener.changed(news, news.get(news.size() - 1).revision(), silence);
        }
        passOn();
        if (call == newest) {
            askNext(call);
        }
        release();
    }

    private void askNext(Call call) {
        // The VM stood still since: a call that waits would leave unheard what came meanwhile.
        boolean old = view.age(now()).orElseThrow().compareTo(bound(call)) > 0;
        if (old) {
            ask(Duration.ZERO);
            return;
        }
        Pace asked = call.relayed() ? pace.atRelay() : pace;
        Instant next = call.at().plus(asked.gap());
        Duration pause = Duration.between(now(), next);
        if (pause.isNegative() || pause.isZero()) {
            ask(pace.patience());
        } else {
            planned.in(pause, () -> ask(pace.patience()));
        }
    }

    // What a relay tells is as old as its own view, and is on its way as long as a call to it
    // lasts.
    private Duration bound(Call call) {
        return call.relayed() ? pace.bound().plus(pace.atRelay().bound()) : pace.bound();
    }

    private void failed(Call call, Throwable failure) {
        if (call.relayed()) {
            metrics.count("store_relays_failed", "of", name);
            if (call == newest) {
                ask(Duration.ZERO);
            }
            return;
        }
        if (compacted(failure)) {
            LOG.info("the store has dropped the history of {}, reading it anew", name);
            failing = true;
            readAnew();
            return;
        }
        metrics.count("store_asks_failed", "of", name);
        if (call == newest) {
            silent(call, failure.getMessage());
            planned.in(RETRY, () -> ask(Duration.ZERO));
        }
    }

    private void silent(Call call, String why) {
        if (silent) {
            return;
        }
        silent = true;
        LOG.info(
                "no changes of {}: a call sent {} ms ago at revision {}: {}; view is {} ms old",
                name,
                call.age(now()).toMillis(),
                view.revision(),
                why,
                ageMillis());
    }

    private static boolean compacted(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof PlatformException known && known.code() == Code.COMPACTED;
    }

    private Duration confirm(
            Call call, Instant goodUpTo, Instant answered, long revision, Source source) {
        if (silent) {
            silent = false;
            LOG.info(
                    "{} is heard of again: revision {} by {}, asked {} ms ago, view was {} ms old",
                    name,
                    revision,
                    source,
                    call.age(now()).toMillis(),
                    ageMillis());
        }
        return view.confirm(goodUpTo, answered, revision);
    }

    /** What an answer was one to. */
    private enum Source {
        READING,
        CHANGES
    }
}
