package io.damaskyoke.control.loads;

import io.damaskyoke.control.direct.ModelSpec;
import java.time.Duration;

/** Where an upstream takes a model's weights from; each knows how long that takes. */
enum LoadSource {
    MEMORY {
        @Override
        Duration time(ModelSpec model) {
            return model.memoryLoadTime();
        }
    },
    DISK {
        @Override
        Duration time(ModelSpec model) {
            return model.diskLoadTime();
        }
    },
    STORE {
        @Override
        Duration time(ModelSpec model) {
            return model.storeLoadTime();
        }
    };

    /** The usual time of a load. */
    abstract Duration time(ModelSpec model);
}
