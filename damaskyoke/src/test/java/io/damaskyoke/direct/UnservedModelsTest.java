package io.damaskyoke.direct;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.damaskyoke.control.upstreams.ModelRef;
import org.junit.jupiter.api.Test;

class UnservedModelsTest {
    private static final ModelRef RARE = ModelRef.parse("rare");

    private final UnservedModels models = new UnservedModels();

    // Guards against models that nobody is served and that no metric shows.
    @Test
    void aModelThatIsAskedForManyTimesInVainShowsUntilItIsServed() {
        for (int each = 0; each < 4; each++) {
            assertEquals(0, models.many());
            models.refused(RARE);
        }
        assertEquals(1, models.many());
        models.served(RARE);
        assertEquals(0, models.many());
    }
}
