package io.damaskyoke.control.crashes;

import io.damaskyoke.control.LruMap;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Counts the upstreams that ended under each request: {@code suspects.ended(end, ran, at, now)}.
 *
 * <p>The pattern: an upstream ends with a dozen requests, of which one may have done it and the
 * rest are innocent. The one comes again and is there at the next end; the others come again too,
 * once or twice, and are answered. So a request is held to be the cause only by what several ends
 * have in common, and cleared by one success. An answer that is no success clears nothing, as an
 * upstream may give one without running the request; it only counts for it.
 */
public final class Suspects {
    /** Ends that are remembered, to tell those of one moment from others. */
    private static final int MOST_ENDS = 1_024;

    private final CrashSettings settings;
    private final Map<RequestDigest, Evidence> evidence;
    private final Map<UpstreamEnd, Instant> ends = new LruMap<>(MOST_ENDS);

    /** Nothing is suspected yet. */
    public Suspects(CrashSettings settings) {
        this.settings = settings;
        this.evidence = new LruMap<>(settings.mostSuspects());
    }

    /**
     * An upstream has ended while these ran there, as one router saw it.
     *
     * @param ran how long each of them had run
     * @param at when the upstream ended
     * @return those under which enough upstreams have ended by now
     */
    public List<RequestDigest> ended(
            UpstreamEnd end, Map<RequestDigest, Duration> ran, Instant at, Instant now) {
        ends.putIfAbsent(end, at);
        ran.forEach(
                (request, time) ->
                        evidence.computeIfAbsent(request, any -> new Evidence())
                                .seen(end, at.minus(time), at));
        return ran.keySet().stream().filter(each -> convicts(each, now)).toList();
    }

    /**
     * True if enough upstreams have ended under it, and no fewer than have borne it. A request that
     * is asked over and over and always fails is borne many times as often as upstreams end.
     */
    public boolean convicts(RequestDigest request, Instant now) {
        int count = count(request, now);
        return count >= settings.ends() && count >= evidence.get(request).timesBorne();
    }

    /** When enough upstreams had ended under it, should each of them speak against it. */
    public Optional<Instant> enoughAt(RequestDigest request) {
        return Optional.ofNullable(evidence.get(request))
                .flatMap(known -> known.end(settings.ends()));
    }

    /** When the last upstream that is counted ended under it. */
    public Instant lastEnd(RequestDigest request) {
        Evidence known = evidence.get(request);
        return known == null ? Instant.MIN : known.lastEnd();
    }

    /** An upstream took it so often and did not end, though it gave no success. */
    public void borne(RequestDigest request, int times) {
        Evidence known = evidence.get(request);
        if (known != null) {
            known.borne(times);
        }
    }

    /** How many upstreams have ended under the request of late, those of a rack as one. */
    public int count(RequestDigest request, Instant now) {
        Evidence known = evidence.get(request);
        if (known == null) {
            return 0;
        }
        known.forgetBefore(now.minus(settings.remembered()));
        return known.weight(this::endsBetween);
    }

    private long endsBetween(Instant from, Instant to) {
        return ends.values().stream().filter(at -> !at.isBefore(from) && !at.isAfter(to)).count();
    }

    /** It was answered with a success then: it is not the cause of ends before that. */
    public void cleared(RequestDigest request, Instant at) {
        Evidence known = evidence.get(request);
        if (known != null) {
            known.cleared(at);
        }
    }

    /** How many requests are remembered. */
    public int size() {
        return evidence.size();
    }
}
