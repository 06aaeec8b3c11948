package io.damaskyoke.control.loads;

import io.damaskyoke.control.direct.ModelSpec;
import java.time.Duration;

/** Where an upstream loads a model's weights from. */
enum LoadSource {
    MEMORY {
        @Override
        Duration loadTime(ModelSpec model) {
            return model.memoryLoadTime();
        }
    },
    DISK {
        @Override
        Duration loadTime(ModelSpec model) {
            return model.diskLoadTime();
        }
    },
    STORE {
        @Override
        Duration loadTime(ModelSpec model) {
            return model.storeLoadTime();
        }
    };

    /** Returns the expected time of a load of the model. */
    abstract Duration loadTime(ModelSpec model);
}
