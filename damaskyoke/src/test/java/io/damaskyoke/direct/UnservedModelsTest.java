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
    void aModelThatIsAskedForManyTimesInVainShowsUntilItIsServed() {
        for (int each = 0; each < 4; each++) {
            assertEquals(0, models.many());
            models.refused(RARE);
        }
        assertEquals(1, models.many());
        models.served(RARE);
        assertEquals(0, models.many());
    }

    // Guards against callers that fill a router's memory by requesting models that do not exist.
    @Test
    void namesThatAreAskedForWithoutEndAreForgotten() {
        for (int name = 0; name < 10_000; name++) {
            for (int each = 0; each < 4; each++) {
                models.refused(ModelRef.parse("name-" + name));
            }
        }
        assertTrue(models.many() <= 4_096, models.many() + " are kept");
    }
}
