package io.damaskyoke.mixed;

import io.damaskyoke.control.TestControlThread;
import java.time.Duration;
import java.util.Random;

/** Carries messages between routers: late, at times twice, at times never. */
final class Messages {
    private final TestControlThread control;
    private final Random random;
    private boolean bad;
    private boolean whole;

    Messages(TestControlThread control, Random random) {
        this.control = control;
        this.random = random;
    }

    void bad(boolean value) {
        bad = value;
    }

    /** Ends all loss for good. */
    void whole() {
        whole = true;
        bad = false;
    }

    void send(Runnable delivery) {
        int chance = random.nextInt(bad ? 4 : 12);
        if (whole || chance != 0) {
            later(delivery);
        }
        if (!whole && chance == 1) {
            later(delivery);
        }
    }

    private void later(Runnable delivery) {
        int most = bad ? 3_000 : 60;
        control.after(Duration.ofMillis(1 + random.nextInt(most)), delivery);
    }
}
