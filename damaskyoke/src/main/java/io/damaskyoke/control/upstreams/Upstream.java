package io.damaskyoke.control.upstreams;

import io.damaskyoke.control.cold.ColdGate;
import io.damaskyoke.control.cold.LimitGate;
import io.damaskyoke.control.cold.UpstreamShare;
import io.damaskyoke.control.notices.PauseGate;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * One upstream as this router sees it: what its entry says, what other routers announce, and what
 * this router's own requests show. Belongs to the traffic thread.
 */
public final class Upstream {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final long NANOS_PER_SECOND = 1_000_000_000;

    /**
     * The load that an answer reported loses weight linearly and no longer counts after this time.
     */
    private static final double LOAD_VALID_MILLIS = 1_000;

    /** Weight of the newest answer in the moving average: about the last eight count. */
    private static final double NEWEST_WEIGHT = 0.12;

    /** A heartbeat and the list's delay: how late an upstream's entry may reach this router. */
    private static final Duration MAX_ENTRY_DELAY = Duration.ofMillis(2_500);

    private final UpstreamHealth health = new UpstreamHealth();
    private final DrainedZones zones;
    private final ColdGate cold;
    private final LimitGate limit;
    private final PauseGate pause;
    private final UpstreamGates gates;
    private final Map<ModelRef, Integer> runningByModel = new TreeMap<>();
    private final RelativeTime relativeTime = new RelativeTime();
    private final TokensInUse tokens = new TokensInUse();
    private UpstreamFacts facts;
    private HeldModels held;
    private Instant leaderAnnouncedAt = Instant.MIN;
    private int inFlight;
    private double othersReported;
    private Instant loadReportedAt = Instant.MIN;
    private double averageMillis;
    private Instant fullUntil = Instant.MIN;
    private long tokenMemory;
    private boolean removed;

    Upstream(UpstreamFacts facts, DrainedZones zones, UpstreamGates gates, Instant now) {
        this.zones = zones;
        this.cold = gates.cold();
        this.limit = gates.limit();
        this.pause = gates.pause();
        this.gates = gates;
        this.facts = facts;
        this.held = facts.held();
        cold.upstreamReported(facts.remainingColdTime(), now);
        gates.incarnationListed(facts.held().startedAt(), now);
    }

    /** Returns the newest entry of the upstream in the platform's list. */
    public UpstreamFacts facts() {
        return facts;
    }

    /**
     * Returns the models that it holds: by the leader's announcement where that is newer than the
     * entry.
     */
    public HeldModels held() {
        return held;
    }

    /** Returns true if new requests may go there: they may be sent, and it is not ejected. */
    public boolean accepts(Instant now) {
        return maySend(now) && health.accepts(now);
    }

    /**
     * Returns true if a request that was assigned to it may be sent: it is open, and has not asked
     * for a pause.
     */
    public boolean maySend(Instant now) {
        return isOpen(now) && !pause.isPaused(now);
    }

    /** Returns true unless it leaves or its zone is closed, whatever its health. */
    public boolean isOpen(Instant now) {
        return !isLeaving() && !isZoneClosed(now);
    }

    /**
     * Returns true if it drains by its entry, was removed from the list, or has said in an answer
     * that it leaves.
     */
    public boolean isLeaving() {
        return facts.draining() || removed || gates.departure().isLeaving();
    }

    /** Closes it to the requests that were assigned to it while it was listed. */
    void markRemoved() {
        removed = true;
    }

    /**
     * Returns true unless this router has sent its share of the requests that the upstream allows,
     * can serve while cold, or takes soon after a pause.
     */
    public boolean hasCapacity(UpstreamShare share, Instant now) {
        return pause.hasCapacity(facts.slots())
                && limit.hasCapacity(facts.id(), share, now)
                && cold.hasCapacity(() -> share.of(facts.id(), cold.limit().perSecond()), now);
    }

    /** Returns the limit on requests that the upstream itself has declared. */
    public LimitGate limitGate() {
        return limit;
    }

    /** Returns the pauses that the upstream has asked for. */
    public PauseGate pause() {
        return pause;
    }

    /** Returns true if it has recently started, or may have, and is slow. */
    public boolean isCold(Instant now) {
        boolean mayBe = !cold.limit().isNone() && cold.isCold(now);
        return mayBe || !facts.remainingColdTime().isZero();
    }

    /** Records that it may have become cold just now, without a report. */
    void markPossiblyCold(Instant now) {
        cold.markPossiblyCold(now);
    }

    /** Returns true if its zone is drained and closed to new requests. */
    public boolean isZoneClosed(Instant now) {
        return zones.isClosed(facts.zone(), now);
    }

    /** Returns true if its zone is drained, so that upstreams elsewhere are preferred. */
    public boolean isZoneDrained() {
        return zones.isDrained(facts.zone());
    }

    /**
     * Returns true if the upstream is ejected or being probed, as this router's requests failed
     * there.
     */
    public boolean isEjected(Instant now) {
        return health.isEjected(now);
    }

    /** Returns the moving average of the failure rate of this router's requests, from 0 to 1. */
    public double failureRate() {
        return health.failureRate();
    }

    /**
     * Returns the number of this router's requests there by model; requests without a model are not
     * included.
     */
    public Map<ModelRef, Integer> runningByModel() {
        return runningByModel;
    }

    /**
     * Returns the moving average of the time to the first byte of an answer, in milliseconds and at
     * the usual speed of the upstream; 0 if none has come yet.
     */
    public double averageMillis() {
        return averageMillis;
    }

    /** Returns the estimated number of requests there now, from this router and the others. */
    public double load(Instant now) {
        return inFlight + others(now);
    }

    private double others(Instant now) {
        if (othersReported == 0) {
            return 0;
        }
        double age =
                loadReportedAt.equals(Instant.MIN)
                        ? LOAD_VALID_MILLIS
                        : millis(loadReportedAt, now);
        double fresh = Math.max(0, 1 - age / LOAD_VALID_MILLIS);
        return othersReported * fresh;
    }

    /** Returns true if it has ever reported how long work takes there, however long ago. */
    public boolean reportsRelativeTime() {
        return relativeTime.isKnown();
    }

    /** Returns the age of the relative time that it has last reported, if there is any. */
    public Optional<Duration> relativeTimeAge(Instant now) {
        return relativeTime.age(now);
    }

    /** Returns how many times as long as usual work takes there now; 1 if that is not known. */
    double timeFactor(Instant now) {
        return relativeTime.factor(now);
    }

    /**
     * Returns true if its memory has room for the request beside those that run there, or if the
     * size of its memory is not known.
     */
    boolean hasTokenRoom(TokenUsage request, Instant now) {
        return tokenMemory == 0 || tokens.with(others(now)) + request.total() <= tokenMemory;
    }

    /** Sets its memory for running requests in tokens; 0 if that is not known. */
    void setTokenMemory(long size) {
        tokenMemory = size;
    }

    /** Returns the number of this router's requests there now. */
    public int inFlight() {
        return inFlight;
    }

    /** Returns true if it has rejected a request a moment ago because it was full. */
    public boolean isFull(Instant now) {
        return now.isBefore(fullUntil);
    }

    /** Records that a request that states no tokens was assigned to the upstream. */
    public void requestAssigned(ModelRef model, Instant now) {
        requestAssigned(model, TokenUsage.UNKNOWN, now);
    }

    /** Records that a request was assigned to the upstream and is about to be sent. */
    public void requestAssigned(ModelRef model, TokenUsage usage, Instant now) {
        inFlight++;
        tokens.add(usage);
        cold.sendStarted();
        limit.sendStarted();
        health.requestSent(now);
        if (model != null) {
            runningByModel.merge(model, 1, Integer::sum);
        }
    }

    /**
     * Records that this router has just started and knows only the entry, which may be out of date.
     */
    public void markUnverified(Instant now) {
        cold.markUnverified(now);
    }

    /** Records that the bytes of a request were sent. */
    public void requestSent(Instant now) {
        cold.requestSent(now);
        limit.requestSent(now);
        pause.requestSent(now);
    }

    /** Records that a request will not be sent. */
    public void requestNotSent() {
        cold.sendCanceled();
        limit.sendCanceled();
    }

    /**
     * Records that the upstream can't be reached or has broken a connection, here or at another
     * router: it may have crashed.
     *
     * @return true if this is new and is to be announced to other routers
     */
    public boolean connectionLost(Instant now) {
        return cold.connectionLost(now);
    }

    /** Records that a request there that states no tokens is finished, whatever its outcome. */
    public void requestFinished(ModelRef model) {
        requestFinished(model, TokenUsage.UNKNOWN);
    }

    /** Records that a request there is finished, whatever its outcome. */
    public void requestFinished(ModelRef model, TokenUsage usage) {
        inFlight--;
        tokens.remove(usage);
        if (model != null) {
            runningByModel.computeIfPresent(model, (any, count) -> count == 1 ? null : count - 1);
        }
    }

    /**
     * Records that the first byte of an answer has come now.
     *
     * @param took time from sending the request to the first byte
     */
    public void requestAnswered(Duration took, Instant now) {
        health.requestAnswered();
        cold.answerReceived(now);
        double millis = took.toNanos() / NANOS_PER_MILLI / relativeTime.factor(now);
        averageMillis =
                averageMillis == 0
                        ? millis
                        : averageMillis + NEWEST_WEIGHT * (millis - averageMillis);
    }

    /**
     * Records that it failed a request: no connection, no answer, or none that can be used.
     *
     * @param assignedAt when the request was assigned to it
     */
    public void requestFailed(Instant assignedAt, Instant now) {
        health.requestFailed(assignedAt, now);
    }

    /** Records that a request ended without showing whether the upstream serves. */
    public void requestUndecided() {
        health.requestUndecided();
    }

    /**
     * Records that it rejected a request because it was full.
     *
     * @param pause for about how long it expects to be full
     */
    public void requestRejected(Instant now, Duration pause) {
        health.requestAnswered();
        cold.answerReceived(now);
        Instant until = now.plus(pause);
        fullUntil = until.isAfter(fullUntil) ? until : fullUntil;
    }

    /** Records the load that an answer reported. */
    public void loadReported(LoadReport load, Instant now) {
        if (load.requests().isPresent()) {
            othersReported = Math.max(0, load.requests().getAsInt() - inFlight);
            loadReportedAt = now;
        }
        if (load.relativeTime().isPresent()) {
            relativeTime.report(load.relativeTime().getAsInt(), now);
        }
    }

    /** Takes the leader's announcement of the models that it holds. */
    public void leaderAnnounced(HeldModels given, Instant now) {
        held = given;
        leaderAnnouncedAt = now;
    }

    /**
     * Records that it rejected a request for a model that it lacks, or as another upstream has its
     * address: the leader's announcement is dropped.
     */
    public void requestMisdirected() {
        held = facts.held();
        health.requestUndecided();
    }

    /**
     * Takes a new entry; one of a new incarnation discards what the one before showed. Returns
     * false if the entry is older than the known one.
     */
    boolean update(UpstreamFacts given, Instant now) {
        if (given.revision() < facts.revision()) {
            return false;
        }
        boolean newIncarnation = given.held().startedAt() != facts.held().startedAt();
        facts = given;
        cold.upstreamReported(given.remainingColdTime(), now);
        gates.incarnationListed(given.held().startedAt(), now);
        boolean announcedRecently =
                !leaderAnnouncedAt.equals(Instant.MIN)
                        && now.isBefore(leaderAnnouncedAt.plus(MAX_ENTRY_DELAY));
        if (newIncarnation) {
            health.incarnationListed(now);
            limit.reset();
            relativeTime.discard();
        }
        if (newIncarnation || !announcedRecently) {
            held = given.held();
        }
        return true;
    }

    // Without a Duration, as this runs for each upstream at each choice.
    private static double millis(Instant from, Instant to) {
        long seconds = to.getEpochSecond() - from.getEpochSecond();
        return (seconds * NANOS_PER_SECOND + to.getNano() - from.getNano()) / NANOS_PER_MILLI;
    }
}
