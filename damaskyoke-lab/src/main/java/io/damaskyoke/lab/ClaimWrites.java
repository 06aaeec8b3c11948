package io.damaskyoke.lab;

import io.damaskyoke.control.claims.ClaimAction;
import io.damaskyoke.control.claims.ClaimBatcher;
import io.damaskyoke.control.claims.ClaimInput;
import io.damaskyoke.control.claims.ClaimSettings;
import io.damaskyoke.control.claims.ClaimWrite;
import io.damaskyoke.platform.KeyValueStore.TxnResult;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * How many writes a second payments cost the store, with a transaction for each change and with
 * {@link ClaimBatcher}. Payments come at random; one commit takes 5 ms, one payment 300 ms.
 */
public final class ClaimWrites implements Experiment {
    private static final int SECONDS = 20;
    private static final int COMMIT_MILLIS = 5;
    private static final int RUN_MILLIS = 300;
    private static final int[] ROUTER_COUNTS = {3, 380};
    private static final int[] PAYMENTS_A_SECOND = {50, 150, 600, 2_400};

    @Override
    public String name() {
        return "claim-writes";
    }

    @Override
    public List<Row> run(Deployment deployment, long seed, Fault fault) {
        List<Row> rows = new ArrayList<>();
        for (int routers : ROUTER_COUNTS) {
            for (int payments : PAYMENTS_A_SECOND) {
                Random random = new Random(seed);
                long commits = 0;
                long worst = 0;
                for (int i = 0; i < routers; i++) {
                    OneRouter router = new OneRouter((double) payments / routers, random);
                    router.run();
                    commits += router.commits;
                    worst = Math.max(worst, router.longestClaim);
                }
                String figure = String.format(Locale.ROOT, "%d/s, %d routers", payments, routers);
                rows.add(new Row(name(), "naive", figure, "writes/s", 2.0 * payments));
                rows.add(new Row(name(), "ours", figure, "writes/s", (double) commits / SECONDS));
                rows.add(new Row(name(), "ours", figure, "ms, longest claim", worst));
            }
        }
        return rows;
    }

    private record Step(long at, long number, Runnable what) {}

    /** One router's batcher on a clock of its own. */
    private static final class OneRouter {
        private final ClaimBatcher batcher;
        private final double rate;
        private final Random random;
        private final PriorityQueue<Step> steps =
                new PriorityQueue<>(
                        Comparator.comparingLong(Step::at).thenComparingLong(Step::number));
        private long now;
        private long number;
        private long commits;
        private long longestClaim;

        OneRouter(double rate, Random random) {
            this.rate = rate;
            this.random = random;
            this.batcher = ClaimBatcher.of(ClaimSettings.defaults(), new Random(1));
        }

        void run() {
            nextPayment();
            while (!steps.isEmpty() && steps.peek().at() < SECONDS * 1_000L) {
                Step step = steps.remove();
                now = step.at();
                step.what().run();
            }
        }

        private void nextPayment() {
            long gap = Math.round(-1_000.0 * Math.log(1.0 - random.nextDouble()) / rate);
            in(
                    gap,
                    () -> {
                        submit("key-" + number, true);
                        nextPayment();
                    });
        }

        private void submit(String key, boolean claim) {
            Instant giveUp = Instant.ofEpochMilli(now + 60_000);
            Optional<Long> before = claim ? Optional.empty() : Optional.of(1L);
            long id = claim ? now * 1_000_000 + number++ : -number++;
            feed(
                    new ClaimInput.WriteSubmitted(
                            new ClaimWrite(
                                    id,
                                    key,
                                    before,
                                    Optional.of(new byte[400]),
                                    0,
                                    giveUp,
                                    claim)));
        }

        private void feed(ClaimInput input) {
            for (ClaimAction action : batcher.on(input, Instant.ofEpochMilli(now))) {
                if (action instanceof ClaimAction.Commit commit) {
                    commits++;
                    in(COMMIT_MILLIS, () -> committed(commit.writes()));
                } else if (action instanceof ClaimAction.WakeAt wake) {
                    in(
                            Math.max(0, wake.time().toEpochMilli() - now),
                            () -> feed(new ClaimInput.Tick()));
                }
            }
        }

        private void committed(List<ClaimWrite> writes) {
            for (ClaimWrite write : writes) {
                if (write.urgent()) {
                    longestClaim = Math.max(longestClaim, now - write.id() / 1_000_000);
                    in(RUN_MILLIS, () -> submit(write.key(), false));
                }
            }
            feed(new ClaimInput.CommitAnswered(new TxnResult(true, 2, List.of())));
        }

        private void in(long millis, Runnable what) {
            steps.add(new Step(now + millis, number++, what));
        }
    }
}
