package io.damaskyoke.direct;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.damaskyoke.control.upstreams.ModelRef;
import org.junit.jupiter.api.Test;

class UnservedModelsTest {
    private static final ModelRef RARE = ModelRef.parse("rare");

    private final UnservedModels models = new UnservedModels();

    // Guards against models that are never served without any metric that shows it.
    @Test
    void aModelCountsAsUnservedAfterFourMissesUntilItIsServed() {
        for (int each = 0; each < 4; each++) {
            assertEquals(0, models.unservedCount());
            models.recordUnserved(RARE);
        }
        assertEquals(1, models.unservedCount());
        models.recordServed(RARE);
        assertEquals(0, models.unservedCount());
    }

    // Guards against callers that fill a router's memory by requesting models that do not exist.
    @Test
    void theNumberOfCountedModelsIsLimited() {
        for (int name = 0; name < 10_000; name++) {
            for (int each = 0; each < 4; each++) {
                models.recordUnserved(ModelRef.parse("name-" + name));
            }
        }
        assertTrue(models.unservedCount() <= 4_096, models.unservedCount() + " models are counted");
    }
}
