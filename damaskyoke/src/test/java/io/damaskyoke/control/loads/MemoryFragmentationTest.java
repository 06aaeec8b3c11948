package io.damaskyoke.control.loads;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.damaskyoke.control.direct.EngineSpec;
import io.damaskyoke.control.direct.ModelSpec;
import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.Test;

class MemoryFragmentationTest {
    private static final double STEP = 0.36;

    private final MemoryFragmentation fragmentation =
            MemoryFragmentation.of(
                    new EngineSpec(
                            32,
                            1,
                            140,
                            1,
                            1,
                            Map.of("small", model("small", 43), "large", model("large", 73))));

    @Test
    void memoryThatNoModelFitsInIsUnusable() {
        assertEquals(42, fragmentation.unusableMb(42), STEP);
        assertEquals(0, fragmentation.unusableMb(43.2), STEP);
        assertEquals(11, fragmentation.unusableMb(140), 3 * STEP);
        assertEquals(24, fragmentation.unusableMb(67), STEP);
    }

    @Test
    void theGapIsChargedToTheLargeModelThatLeavesIt() {
        double besideLarge = fragmentation.costOfChange(140 - 73, 140 - 73 - 43);
        double besideSmall = fragmentation.costOfChange(140 - 43, 140 - 43 - 43);
        assertTrue(besideSmall <= 0.01, "beside a small one " + besideSmall);
        assertTrue(fragmentation.costOfChange(140, 140 - 73) > 0, "a large one alone leaves a gap");
        assertEquals(0, besideLarge, 0.01, "the gap was there before");
    }

    private static ModelSpec model(String name, double size) {
        Duration second = Duration.ofSeconds(1);
        return new ModelSpec(name, size, second, second, second, 0);
    }
}
