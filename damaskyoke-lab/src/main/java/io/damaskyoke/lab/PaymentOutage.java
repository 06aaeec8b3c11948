package io.damaskyoke.lab;

import io.damaskyoke.control.claims.ClaimSettings;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;

/**
 * What becomes of payments with an idempotency key while the store is out, by what routers do then.
 *
 * <p>Callers pay once a tenth of a second; one answer in twenty is lost on its way; one of four
 * agents is restarted in the middle of the outage. A caller whose payment is refused, or whose
 * answer is lost, sends it again up to three times. All times are milliseconds.
 */
public final class PaymentOutage implements Experiment {
    private static final int PAYMENTS = 3_000;
    private static final int EVERY = 100;
    private static final int OUTAGE_START = 100_000;
    private static final int[] OUTAGES = {2_000, 8_000, 30_000, 120_000};
    private static final int AGENTS = 4;
    private static final int REPEATS = 3;
    private static final int COME_BACK = 2_000;
    private static final int DEADLINE = 20_000;
    private static final int RUN = 300;
    private static final double ANSWER_LOST = 0.05;

    /** What a router does with a keyed payment that it can't claim in the store. */
    private enum Policy {
        /** Says "not run, come back" at once. */
        REFUSE,
        /** Waits for half of the deadline, then refuses; what routers do. */
        OURS,
        /** Runs it without a claim. */
        NAIVE,
        /** Claims it in the memory of the agent that is the key's home. */
        HOME_AGENT;

        String label() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }

    @Override
    public String name() {
        return "payments";
    }

    @Override
    public List<Row> run(Deployment deployment, long seed, Fault fault) {
        List<Row> rows = new ArrayList<>();
        int[] outages = fault == Fault.STORE_OUT ? OUTAGES : new int[] {0};
        for (int outage : outages) {
            for (Policy policy : Policy.values()) {
                Counts counts = new Counts();
                Random random = new Random(seed);
                for (int i = 0; i < PAYMENTS; i++) {
                    new Payment(policy, outage, i % AGENTS, random, counts).pay(i * EVERY);
                }
                counts.rows(name(), policy.label(), outage / 1000, rows);
            }
        }
        return rows;
    }

    private static final class Counts {
        private final Map<String, Integer> numbers = new HashMap<>();

        void add(String what) {
            numbers.merge(what, 1, Integer::sum);
        }

        void rows(String experiment, String policy, int seconds, List<Row> into) {
            for (String what : List.of("ran twice", "refusals", "never paid", "outcome unknown")) {
                into.add(
                        new Row(
                                experiment,
                                policy,
                                what + ", " + seconds + " s out",
                                "of " + PAYMENTS,
                                numbers.getOrDefault(what, 0)));
            }
        }
    }

    /** One payment with its repeats. */
    private static final class Payment {
        private final Policy policy;
        private final int outage;
        private final int agent;
        private final Random random;
        private final Counts counts;
        private boolean claimed;
        private int rememberedInLife = -1;
        private int runs;
        private boolean known;
        private int now;

        Payment(Policy policy, int outage, int agent, Random random, Counts counts) {
            this.policy = policy;
            this.outage = outage;
            this.agent = agent;
            this.random = random;
            this.counts = counts;
        }

        void pay(int start) {
            now = start;
            for (int i = 0; i <= REPEATS && !known; i++) {
                attempt();
                now += COME_BACK;
            }
            if (runs > 1) {
                counts.add("ran twice");
            }
            if (runs == 0) {
                counts.add("never paid");
            } else if (!known) {
                counts.add("outcome unknown");
            }
        }

        private void attempt() {
            if (storeOut() && policy == Policy.OURS) {
                now += (int) Math.min(waitLimit(), OUTAGE_START + outage - now);
            }
            if (!storeOut()) {
                claimOrAsk();
            } else if (policy == Policy.NAIVE) {
                execute();
            } else if (policy == Policy.HOME_AGENT) {
                known = remembered();
                if (!known) {
                    execute();
                }
            } else {
                counts.add("refusals");
            }
        }

        private void claimOrAsk() {
            if (claimed || remembered()) {
                known = remembered();
                return;
            }
            claimed = true;
            execute();
        }

        private void execute() {
            runs++;
            now += RUN;
            rememberedInLife = policy == Policy.NAIVE && storeOut() ? -1 : life();
            known = random.nextDouble() >= ANSWER_LOST;
        }

        private boolean remembered() {
            return rememberedInLife == life();
        }

        private int life() {
            boolean restarted = agent == 0 && now >= OUTAGE_START + outage / 2;
            return outage > 0 && restarted ? 1 : 0;
        }

        private boolean storeOut() {
            return now >= OUTAGE_START && now < OUTAGE_START + outage;
        }

        private static long waitLimit() {
            return ClaimSettings.defaults().claimTimeout(Duration.ofMillis(DEADLINE)).toMillis();
        }
    }
}
