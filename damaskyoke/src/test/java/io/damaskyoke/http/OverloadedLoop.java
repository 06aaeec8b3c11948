package io.damaskyoke.http;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Simulates the event loop of a server on a part of a core, with simulated time: callers connect at
 * a steady rate, each request takes processor time when it is read and when it is answered, and
 * callers that have no answer in time leave.
 */
final class OverloadedLoop {
    private static final long PLAYED_NANOS = Duration.ofSeconds(20).toNanos();
    private static final long CALLERS_WAIT_NANOS = Duration.ofSeconds(1).toNanos();
    private static final long UPSTREAM_TAKES_NANOS = Duration.ofMillis(20).toNanos();
    private static final long READ_COST_NANOS = Duration.ofMillis(1).toNanos();
    private static final long ANSWER_COST_NANOS = Duration.ofMillis(1).toNanos();
    private static final long PASS_COST_NANOS = 50_000;
    private static final long IDLE_STEP_NANOS = Duration.ofMillis(2).toNanos();
    private static final int USUAL_PER_SECOND = 20;

    /** Netty accepts this many connections a pass unless told otherwise. */
    private static final int USUAL_ACCEPTS_PER_PASS = 16;

    /** The processor is granted in periods of this length. */
    private static final long PERIOD_NANOS = Duration.ofMillis(100).toNanos();

    private final UnreadConnections unread = new UnreadConnections();
    private final ArrayDeque<Caller> backlog = new ArrayDeque<>();
    private final List<Caller> readable = new ArrayList<>();
    private final PriorityQueue<Answer> answers =
            new PriorityQueue<>(Comparator.comparingLong(Answer::dueAt));
    private final long coreNanosPerPeriod;
    private final long arrivalGap;
    private final boolean limitsReads;
    private long now;
    private long nextArrival;
    private long period;
    private long usedInPeriod;
    private int read;
    private int served;

    private record Answer(Caller caller, long dueAt) {}

    private final class Caller implements UnreadConnections.Unread {
        private final long sentAt = nextArrival;

        @Override
        public void startReading() {
            readable.add(this);
        }

        @Override
        public void closeUnread() {}

        boolean left() {
            return now - sentAt > CALLERS_WAIT_NANOS;
        }
    }

    /**
     * Creates a loop.
     *
     * @param core part of a core that it gets
     * @param times the rate of connections, in times the usual
     * @param limitsReads whether it decides which connections to read; otherwise it reads all
     */
    OverloadedLoop(double core, int times, boolean limitsReads) {
        this.coreNanosPerPeriod = (long) (core * PERIOD_NANOS);
        this.arrivalGap = Duration.ofSeconds(1).toNanos() / ((long) USUAL_PER_SECOND * times);
        this.limitsReads = limitsReads;
    }

    /** Returns the part of the requests that were read which were answered in time. */
    double servedPart() {
        return read == 0 ? 0 : (double) served / read;
    }

    int served() {
        return served;
    }

    void play() {
        long busy = 0;
        while (now < PLAYED_NANOS) {
            long start = now;
            runPass(busy);
            busy = now - start;
            if (readable.isEmpty() && !unread.anyWaiting()) {
                now += IDLE_STEP_NANOS;
            }
        }
    }

    private void runPass(long busy) {
        List<Caller> found = new ArrayList<>(readable);
        readable.clear();
        accept();
        if (limitsReads) {
            unread.admit(now, busy);
        }
        work(PASS_COST_NANOS);
        found.forEach(this::readRequest);
        while (!answers.isEmpty() && answers.peek().dueAt() <= now) {
            answer(answers.remove().caller());
        }
    }

    private void accept() {
        for (; nextArrival <= now; nextArrival += arrivalGap) {
            backlog.add(new Caller());
        }
        int most = limitsReads ? backlog.size() : USUAL_ACCEPTS_PER_PASS;
        for (int each = 0; each < most && !backlog.isEmpty(); each++) {
            if (limitsReads) {
                unread.add(backlog.remove(), now);
            } else {
                readable.add(backlog.remove());
            }
        }
    }

    private void readRequest(Caller caller) {
        read++;
        if (!caller.left()) {
            work(READ_COST_NANOS);
            answers.add(new Answer(caller, now + UPSTREAM_TAKES_NANOS));
        }
    }

    private void answer(Caller caller) {
        if (!caller.left()) {
            work(ANSWER_COST_NANOS);
            served += caller.left() ? 0 : 1;
        }
    }

    private void work(long cost) {
        long left = cost;
        if (now / PERIOD_NANOS > period) {
            startPeriod(now / PERIOD_NANOS);
        }
        while (usedInPeriod + left > coreNanosPerPeriod) {
            left -= coreNanosPerPeriod - usedInPeriod;
            startPeriod(period + 1);
            now = period * PERIOD_NANOS;
        }
        usedInPeriod += left;
        now += left;
    }

    private void startPeriod(long number) {
        period = number;
        usedInPeriod = 0;
    }

    @Override
    public String toString() {
        return "%d read, %d served".formatted(read, served);
    }
}
