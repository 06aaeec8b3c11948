package io.damaskyoke.control.claims;

import io.damaskyoke.platform.KeyValueStore.Entry;
import io.damaskyoke.platform.KeyValueStore.TxnResult;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

class ClaimBatcherSessionTest {
    private final ClaimBatcher batcher = ClaimBatcher.of(ClaimSettings.defaults(), new Random(1));
    private final StringBuilder transcript = new StringBuilder();
    private long now;

    @Test
    void aWholeSession() {
        heading("Two claims arrive within the batching delay and share a transaction");
        claim(1, "a", 10_000);
        after(2);
        claim(2, "b", 10_000);
        tick(10);
        heading("Writes that arrive during the commit wait, two of them for the same key");
        claim(3, "c", 10_000);
        claim(4, "c", 10_000);
        claim(5, "d", 10_000);
        answered(true, 7);
        tick(10);
        heading("The key d exists, so the transaction fails; c is committed again without it");
        answered(false, 8, entry("d", "by another", 3));
        answered(true, 9);
        heading("The second claim of c conflicts with the first");
        answered(false, 9, entry("c", "claim 3", 9));
        heading("The answer of a commit is lost; the retry finds that the claim was written");
        claim(6, "e", 10_000);
        tick(10);
        feed("lost", new ClaimInput.CommitFailed(true));
        tick(60);
        answered(false, 12, entry("e", "claim 6", 11));
        heading("The store is down: the backoff grows, and a claim past its deadline is given up");
        claim(7, "f", 120);
        tick(10);
        feed("store down", new ClaimInput.CommitFailed(false));
        tick(50);
        feed("store down", new ClaimInput.CommitFailed(false));
        tick(100);
        heading("A settlement that no request waits for is batched for longer");
        settle(8, "a", 7);
        tick(100);
        tick(150);
        answered(true, 13);
        Approvals.verify(transcript);
    }

    private void claim(long id, String key, long millis) {
        submit(id, key, Optional.empty(), "claim " + id, millis, true);
    }

    private void settle(long id, String key, long revision) {
        submit(id, key, Optional.of(revision), "answer " + id, 60_000, false);
    }

    private void submit(
            long id, String key, Optional<Long> before, String value, long millis, boolean urgent) {
        Instant giveUp = Instant.ofEpochMilli(now + millis);
        Optional<byte[]> bytes = Optional.of(value.getBytes(StandardCharsets.UTF_8));
        feed(
                "submit " + id + " for " + key,
                new ClaimInput.WriteSubmitted(
                        new ClaimWrite(id, key, before, bytes, 0, giveUp, urgent)));
    }

    private void answered(boolean committed, long revision, Entry... found) {
        feed(
                committed ? "committed at " + revision : "not committed",
                new ClaimInput.CommitAnswered(new TxnResult(committed, revision, List.of(found))));
    }

    private static Entry entry(String key, String value, long revision) {
        return new Entry(key, value.getBytes(StandardCharsets.UTF_8), revision, 1, 0);
    }

    private void tick(long millis) {
        after(millis);
        feed("tick", new ClaimInput.Tick());
    }

    private void after(long millis) {
        now += millis;
    }

    private void heading(String text) {
        transcript.append("\n# ").append(text).append('\n');
    }

    private void feed(String description, ClaimInput input) {
        transcript.append(now).append(" ms ").append(description).append('\n');
        for (ClaimAction action : batcher.on(input, Instant.ofEpochMilli(now))) {
            transcript.append("    ").append(text(action)).append('\n');
        }
    }

    private static String text(ClaimAction action) {
        if (action instanceof ClaimAction.Commit commit) {
            return "commit " + commit.writes().stream().map(ClaimWrite::id).toList();
        }
        if (action instanceof ClaimAction.CompleteWrite done) {
            return "done " + done.id() + ": " + text(done.result());
        }
        return "wake at " + ((ClaimAction.WakeAt) action).time().toEpochMilli() + " ms";
    }

    private static String text(ClaimAction.Result result) {
        if (result instanceof ClaimAction.Result.Conflict conflict) {
            return "conflict with revision "
                    + conflict.found().map(entry -> "" + entry.modRevision()).orElse("none");
        }
        return result.toString();
    }
}
