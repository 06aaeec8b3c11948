package io.damaskyoke.control.upstreams;

import io.damaskyoke.control.cold.ColdGate;
import io.damaskyoke.control.cold.LimitGate;
import io.damaskyoke.control.cold.UpstreamShare;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.TreeMap;

/**
 * One upstream as this router sees it: what it says of itself, what others say of it, and what this
 * router's own requests show. Belongs to the traffic thread.
 */
public final class Upstream {
    private static final double NANOS_PER_MILLI = 1e6;

    /** What an answer said of the load counts less and less, and nothing after this. */
    private static final double LOAD_FADES_MILLIS = 1_000;

    /** Weight of the newest answer in the usual time: about the last eight count. */
    private static final double NEWEST = 0.12;

    /** What it says of itself reaches this router a heartbeat and the list's lag later. */
    private static final Duration OWN_WORD_LAGS = Duration.ofMillis(2_500);

    private final Health health = new Health();
    private final DrainedZones zones;
    private final ColdGate cold;
    private final LimitGate limit;
    private final Map<ModelRef, Integer> running = new TreeMap<>();
    private UpstreamFacts facts;
    private HeldModels held;
    private Instant toldAt = Instant.MIN;
    private int inFlight;
    private double othersThen;
    private Instant loadAt = Instant.MIN;
    private double usualMillis;
    private Instant fullUntil = Instant.MIN;

    Upstream(UpstreamFacts facts, DrainedZones zones, Gates gates, Instant now) {
        this.zones = zones;
        this.cold = gates.cold();
        this.limit = gates.limit();
        this.facts = facts;
        this.held = facts.held();
        cold.says(facts.coldLeft(), now);
    }

    /** What it says of itself. */
    public UpstreamFacts facts() {
        return facts;
    }

    /** What it holds: by the leader's word where that is newer than its own. */
    public HeldModels held() {
        return held;
    }

    /** True if new requests may go there: it is open, and not given up on. */
    public boolean takes(Instant now) {
        return open(now) && health.takes(now);
    }

    /** True unless it leaves or its zone is closed, whatever its health. */
    public boolean open(Instant now) {
        return !facts.draining() && !closed(now);
    }

    /** True unless this router has sent its share of what it bears while cold, or of its limit. */
    public boolean hasRoom(UpstreamShare share, Instant now) {
        return limit.room(facts.id(), share, now)
                && cold.room(() -> share.of(facts.id(), cold.limit().perSecond()), now);
    }

    /** How many requests it says it takes. */
    public LimitGate limitGate() {
        return limit;
    }

    /** True if it has started of late, or may have, and is slow. */
    public boolean cold(Instant now) {
        boolean mayBe = !cold.limit().none() && cold.cold(now);
        return mayBe || !facts.coldLeft().isZero();
    }

    /** It may have become cold just now, without a word. */
    void mayBeCold(Instant now) {
        cold.mayBeCold(now);
    }

    /** True if operators let nothing more be sent to its zone. */
    public boolean closed(Instant now) {
        return zones.closed(facts.zone(), now);
    }

    /** True if its zone is drained, so that others are better sent to. */
    public boolean zoneDrained() {
        return zones.drained(facts.zone());
    }

    /** True if this router's requests fail there. */
    public boolean suspect() {
        return health.suspect();
    }

    /** The share of this router's requests that it failed of late. */
    public double failing() {
        return health.failing();
    }

    /**
     * This router's own requests there, by what they ask for; those without a model are left out.
     */
    public Map<ModelRef, Integer> running() {
        return running;
    }

    /** The usual time to the first byte of an answer, in milliseconds; 0 if none has come yet. */
    public double usualMillis() {
        return usualMillis;
    }

    /** Requests that are likely to be there now, this router's and the others'. */
    public double load(Instant now) {
        double age = loadAt.equals(Instant.MIN) ? LOAD_FADES_MILLIS : millis(loadAt, now);
        double fresh = Math.max(0, 1 - age / LOAD_FADES_MILLIS);
        return inFlight + othersThen * fresh;
    }

    /** This router's requests that are there now. */
    public int inFlight() {
        return inFlight;
    }

    /** True if it has turned a request away a moment ago because it was full. */
    public boolean full(Instant now) {
        return now.isBefore(fullUntil);
    }

    /** A request goes there now. */
    public void sent(ModelRef model, Instant now) {
        inFlight++;
        cold.begins();
        limit.begins();
        health.sent(now);
        if (model != null) {
            running.merge(model, 1, Integer::sum);
        }
    }

    /** This router has just started, and knows nothing of it but its entry. */
    public void unknown(Instant now) {
        cold.unknown(now);
    }

    /** The bytes of a request leave for it. */
    public void left(Instant now) {
        cold.leaves(now);
        limit.leaves(now);
    }

    /** A request for it will not leave. */
    public void neverLeft() {
        cold.calledOff();
        limit.calledOff();
    }

    /**
     * It can't be reached, or has broken off, here or at another router: it may have ended.
     *
     * @return true if that is news, which other routers should be told
     */
    public boolean lost(Instant now) {
        return cold.lost(now);
    }

    /** A request that went there is over, however it ended. */
    public void over(ModelRef model) {
        inFlight--;
        if (model != null) {
            running.computeIfPresent(model, (any, count) -> count == 1 ? null : count - 1);
        }
    }

    /** The first byte of an answer has come now, after this time. */
    public void answered(Duration took, Instant now) {
        health.answered();
        cold.answers(now);
        double millis = took.toNanos() / NANOS_PER_MILLI;
        usualMillis = usualMillis == 0 ? millis : usualMillis + NEWEST * (millis - usualMillis);
    }

    /** It failed a request: no connection, no answer, or none that can be used. */
    public void failed(Instant now) {
        health.failed(now);
    }

    /** A request was called off before anything was known. */
    public void calledOff() {
        health.calledOff();
    }

    /** It turned a request away, as it was full, for about this time. */
    public void turnedAway(Instant now, Duration pause) {
        health.answered();
        cold.answers(now);
        fullUntil = now.plus(pause);
    }

    /** An answer said how many requests run and wait there. */
    public void reported(int runningThere, int waitingThere, Instant now) {
        othersThen = Math.max(0, runningThere + waitingThere - inFlight);
        loadAt = now;
    }

    /** The leader says what it holds. */
    public void told(HeldModels given, Instant now) {
        held = given;
        toldAt = now;
    }

    /** It refused a request for something that the leader says it holds. */
    public void contradicted() {
        held = facts.held();
    }

    /** It says something new of itself; a new life forgets what the one before showed. */
    boolean update(UpstreamFacts given, Instant now) {
        if (given.revision() < facts.revision()) {
            return false;
        }
        boolean reborn = given.held().startedAt() != facts.held().startedAt();
        facts = given;
        cold.says(given.coldLeft(), now);
        boolean toldOfLate =
                !toldAt.equals(Instant.MIN) && now.isBefore(toldAt.plus(OWN_WORD_LAGS));
        if (reborn) {
            limit.forget();
        }
        if (reborn || !toldOfLate) {
            held = given.held();
        }
        return true;
    }

    private static double millis(Instant from, Instant to) {
        return Duration.between(from, to).toNanos() / NANOS_PER_MILLI;
    }
}
