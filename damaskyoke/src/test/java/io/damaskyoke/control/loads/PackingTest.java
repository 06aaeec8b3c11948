package io.damaskyoke.control.loads;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.damaskyoke.control.direct.EngineSpec;
import io.damaskyoke.control.direct.ModelSpec;
import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.Test;

class PackingTest {
    private final Packing packing =
            Packing.of(
                    new EngineSpec(
                            32,
                            1,
                            140,
                            1,
                            1,
                            Map.of("small", model("small", 43), "large", model("large", 73))));

    @Test
    void aGapIsWhatNoModelFitsIn() {
        assertEquals(42, packing.gap(42));
        assertEquals(0, packing.gap(43));
        assertEquals(11, packing.gap(140));
        assertEquals(24, packing.gap(67));
    }

    @Test
    void aSmallModelBesideALargeOneCostsMoreThanBesideASmallOne() {
        double besideLarge = packing.loss(140 - 73, 140 - 73 - 43);
        double besideSmall = packing.loss(140 - 43, 140 - 43 - 43);
        assertTrue(besideSmall <= 0, "beside a small one " + besideSmall);
        assertTrue(packing.loss(140, 140 - 73) > 0, "a large one alone leaves a gap");
        assertEquals(0, besideLarge, "the gap was there before");
    }

    private static ModelSpec model(String name, double size) {
        Duration second = Duration.ofSeconds(1);
        return new ModelSpec(name, size, second, second, second, 0);
    }
}
