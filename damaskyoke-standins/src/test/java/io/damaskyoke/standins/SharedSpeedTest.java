package io.damaskyoke.standins;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class SharedSpeedTest {
    private final SharedSpeed speed = new SharedSpeed(4, 1000);
    private final List<String> ended = new ArrayList<>();

    @Test
    void fourLoadsGoAtFullSpeed() {
        for (int i = 0; i < 4; i++) {
            speed.start(0, () -> ended.add("load"));
        }
        assertEquals(1000, speed.run(0));
        assertEquals(-1, speed.run(1000));
        assertEquals(4, ended.size());
    }

    @Test
    void eightLoadsTakeTwiceAsLong() {
        for (int i = 0; i < 8; i++) {
            speed.start(0, () -> ended.add("load"));
        }
        assertEquals(2000, speed.run(0));
        assertEquals(1000, speed.run(1000));
        speed.run(2000);
        assertEquals(8, ended.size());
    }

    @Test
    void slowStoreStretchesWhatIsLeft() {
        speed.start(0, () -> ended.add("load"));
        speed.slow(500, 4);
        assertEquals(2000, speed.run(500));
        speed.slow(500, 1);
        assertEquals(500, speed.run(500));
    }
}
