package io.damaskyoke.exchange;

import io.damaskyoke.id.ModelName;
import io.damaskyoke.id.ServiceName;

/** The target of a request: a model or adapter by its name, or a plain service. */
public sealed interface Target {
    /** Returns the name that callers use, for messages and the timeline. */
    String name();

    /** A model or adapter, which may have to be loaded first. */
    record Model(ModelName model) implements Target {
        @Override
        public String name() {
            return model.value();
        }
    }

    /** A plain service, which is always running. */
    record Service(ServiceName service) implements Target {
        @Override
        public String name() {
            return service.value();
        }
    }
}
