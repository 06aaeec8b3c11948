package io.damaskyoke.control.crashes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class QuarantineTest {
    private static final CrashSuspect ONE = CrashSuspect.request("01");
    private static final CrashSuspect PART = CrashSuspect.promptPart("5c1e");

    private final Quarantine quarantine = new Quarantine(CrashSettings.defaults());
    private Instant now = Instant.ofEpochSecond(100);

    @Test
    void aRequestIsQuarantinedForTheConfiguredTime() {
        quarantine.add(ONE, now, now);
        now = now.plus(Duration.ofMinutes(4));
        assertEquals(Optional.of(Duration.ofMinutes(6)), quarantine.tryAdmit(ONE, true, now));
        assertTrue(quarantine.isQuarantined(ONE, now));
    }

    @Test
    void afterTheQuarantineOneRouterMakesOneTrial() {
        quarantine.add(ONE, now, now);
        now = now.plus(Duration.ofMinutes(10));
        assertTrue(quarantine.tryAdmit(ONE, false, now).isPresent());
        assertTrue(quarantine.tryAdmit(ONE, true, now).isEmpty());
        assertTrue(quarantine.tryAdmit(ONE, true, now).isPresent());
    }

    // Guards against trials without a limit: after the third crash a request is sent three times at
    // most.
    @Test
    void afterTwoFailedTrialsTheQuarantineIsPermanent() {
        quarantine.add(ONE, now, now);
        int trials = 0;
        for (int minute = 0; minute < 10_000; minute++) {
            now = now.plus(Duration.ofMinutes(1));
            if (quarantine.tryAdmit(ONE, true, now).isEmpty()) {
                trials++;
                quarantine.add(ONE, now, now.plusSeconds(1));
            }
        }
        assertEquals(2, trials);
    }

    @Test
    void aSuccessEndsTheQuarantine() {
        quarantine.add(ONE, now, now);
        assertTrue(quarantine.recordSuccess(ONE, now.plusMillis(1)));
        assertTrue(quarantine.isEmpty());
        assertTrue(quarantine.tryAdmit(ONE, true, now).isEmpty());
    }

    // Guards against clearing a request by a run that was under way at the last crash.
    @Test
    void aSuccessOfARunSentBeforeTheLastCrashDoesNotEndIt() {
        quarantine.add(ONE, now, now.plusSeconds(2));
        assertFalse(quarantine.recordSuccess(ONE, now));
        assertTrue(quarantine.isQuarantined(ONE, now));
    }

    @Test
    void aRepeatedEntryChangesNothing() {
        Quarantine.Entry entry = quarantine.add(ONE, now, now).orElseThrow();
        assertFalse(quarantine.merge(entry));
        assertTrue(quarantine.add(ONE, now, now).isEmpty());
    }

    // Guards against a trial that is repeated each minute because its upstream fails it and it
    // shows nothing.
    @Test
    void trialsWithoutAResultAreMadeAtMostTwice() {
        quarantine.add(ONE, now, now);
        int trials = 0;
        for (int minute = 0; minute < 1_000; minute++) {
            now = now.plus(Duration.ofMinutes(1));
            trials += quarantine.tryAdmit(ONE, true, now).isEmpty() ? 1 : 0;
        }
        assertEquals(2, trials);
    }

    // Guards against a sound part that is quarantined by mistake and keeps many callers out.
    @Test
    void aPromptPartGetsItsFirstTrialAfterSeconds() {
        quarantine.add(PART, now, now);
        now = now.plusSeconds(5);
        assertTrue(quarantine.tryAdmit(PART, false, now).isPresent());
        assertTrue(quarantine.tryAdmit(PART, true, now).isEmpty());
        assertTrue(quarantine.recordSuccess(PART, now));
    }

    // Guards against trials without a limit: three requests are allowed after the fifth crash.
    @Test
    void aPromptPartThatFailsItsTrialsIsTriedTwiceAtMost() {
        quarantine.add(PART, now, now);
        int trials = 0;
        for (int second = 0; second < 100_000; second++) {
            now = now.plusSeconds(1);
            if (quarantine.tryAdmit(PART, true, now).isEmpty()) {
                trials++;
                quarantine.add(PART, now, now.plusSeconds(1));
            }
        }
        assertEquals(2, trials);
    }

    // Guards against a faulty release of the upstreams, which crashes under any request.
    @Test
    void theNumberOfQuarantinedRequestsIsBounded() {
        for (int each = 0; each < 1_000; each++) {
            quarantine.add(CrashSuspect.request("r" + each), now, now);
        }
        assertEquals(CrashSettings.defaults().maxQuarantined(), quarantine.entries().size());
    }
}
