package io.damaskyoke.control.upstreams;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests what an upstream that failed requests needs to get work again. */
class RestartedUpstreamTest {
    private static final UpstreamId ID = UpstreamId.of("one");
    private static final int FAILURES_TO_EJECT = 3;
    private static final Duration LONGEST_EJECTION = Duration.ofSeconds(5);

    private final UpstreamTable table = new UpstreamTable();
    private Instant now = Instant.ofEpochSecond(100);
    private long revision;

    @BeforeEach
    void list() {
        list(1);
    }

    // Guards against an upstream that is back empty, and is ejected for what it failed before its
    // restart: it gets no request as it holds nothing, and no order as it is ejected.
    @Test
    void aRestartedUpstreamIsNotEjected() {
        eject(now);
        list(2);
        assertFalse(upstream().isEjected(now));
        assertTrue(upstream().accepts(now));
    }

    // Guards against a restarted upstream that is ejected for requests to the process before it,
    // whose failures come late.
    @Test
    void lateFailuresOfTheIncarnationBeforeDoNotCount() {
        Instant before = now;
        now = now.plusMillis(100);
        list(2);
        now = now.plusMillis(100);
        eject(before);
        assertFalse(upstream().isEjected(now));
        eject(now);
        assertTrue(upstream().isEjected(now));
    }

    // Guards against a probe that is answered 421 and leaves the upstream as one that is being
    // probed, which accepts no request at all.
    @Test
    void aMisdirectedProbeIsFollowedByAnother() {
        eject(now);
        now = now.plus(LONGEST_EJECTION);
        upstream().requestAssigned(null, now);
        assertFalse(upstream().accepts(now));
        upstream().requestMisdirected();
        assertTrue(upstream().accepts(now));
    }

    // Guards against an upstream that holds nothing that is requested, so that no probe comes, and
    // counts as ejected for good.
    @Test
    void anEjectionEndsWithoutAProbe() {
        eject(now);
        assertTrue(upstream().isEjected(now));
        now = now.plus(LONGEST_EJECTION);
        assertFalse(upstream().isEjected(now));
    }

    // Guards against an upstream that is probed again and again, fails each probe, and counts as
    // usable in between.
    @Test
    void anUpstreamThatFailsItsProbesStaysEjected() {
        eject(now);
        for (int probe = 0; probe < 10; probe++) {
            while (!upstream().accepts(now)) {
                assertTrue(upstream().isEjected(now));
                now = now.plusMillis(50);
            }
            upstream().requestAssigned(null, now);
            now = now.plusSeconds(3);
            assertTrue(upstream().isEjected(now));
            upstream().requestFailed(now.minusSeconds(3), now);
            upstream().requestFinished(null);
        }
    }

    private void eject(Instant assignedAt) {
        for (int failure = 0; failure < FAILURES_TO_EJECT; failure++) {
            upstream().requestFailed(assignedAt, now);
        }
    }

    private void list(long startedAt) {
        HeldModels nothing = new HeldModels(startedAt, HeldModels.UNKNOWN_SEQUENCE, Map.of());
        table.put(TestFacts.of(ID.value(), ++revision, "service", 4, nothing), now);
    }

    private Upstream upstream() {
        return table.find(ID).orElseThrow();
    }
}
