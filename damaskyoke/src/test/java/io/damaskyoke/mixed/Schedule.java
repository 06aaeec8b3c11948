package io.damaskyoke.mixed;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** When which faults begin, and for how many steps: {@code Schedule.random(seed)}. */
record Schedule(List<Event> events) {
    private static final int EPISODES = 8;
    private static final int LAST_START = MixedWorld.FAULTY_STEPS - 20;

    record Event(int step, Fault fault, int target, int steps) {
        @Override
        public String toString() {
            return step + ": " + fault + " of " + target + " for " + steps;
        }
    }

    static Schedule of(Event... events) {
        return new Schedule(List.of(events));
    }

    /** Episodes of two or three failures that begin close to each other and overlap. */
    static Schedule random(long seed) {
        Random random = new Random(seed);
        List<Event> events = new ArrayList<>();
        for (int episode = 0; episode < EPISODES; episode++) {
            int start = random.nextInt(LAST_START);
            int together = 2 + random.nextInt(2);
            for (int i = 0; i < together; i++) {
                Fault fault = Fault.values()[random.nextInt(Fault.values().length)];
                int step = start + random.nextInt(8);
                int steps = Math.min(8 + random.nextInt(250), MixedWorld.FAULTY_STEPS - step);
                events.add(new Event(step, fault, random.nextInt(4), steps));
            }
        }
        return new Schedule(events);
    }

    void apply(MixedWorld world, int step) {
        for (Event event : events) {
            if (event.step + event.steps == step) {
                event.fault.end(world, event.target);
            }
        }
        for (Event event : events) {
            if (event.step == step) {
                event.fault.begin(world, event.target, event.steps);
            }
        }
    }

    void endAll(MixedWorld world) {
        events.forEach(event -> event.fault.end(world, event.target));
    }
}
