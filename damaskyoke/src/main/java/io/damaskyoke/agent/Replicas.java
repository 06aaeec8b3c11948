package io.damaskyoke.agent;

import io.damaskyoke.control.configuration.Model;
import io.damaskyoke.id.ModelName;
import io.damaskyoke.id.WorkspaceId;
import java.time.Instant;
import java.util.Set;

/** The models in the engine's memory, as {@link RequestRunner} needs them; control thread only. */
interface Replicas {
    /** Sees that the model gets into memory; the runner hears of it by its own inputs. */
    void want(Model model, WorkspaceId workspace, Instant deadline);

    /** One more request uses the model. */
    void use(ModelName model);

    /** One request less uses it. */
    void leave(ModelName model);

    /** Models ready to serve. */
    Set<ModelName> loaded();

    /** Models being loaded. */
    Set<ModelName> loading();

    /** What the engine has for models, in bytes. */
    long memoryBytes();

    /** What of it is taken or reserved, in bytes. */
    long memoryUsedBytes();

    /** For a plain service, which holds none. */
    static Replicas none() {
        return new Replicas() {
            @Override
            public void want(Model model, WorkspaceId workspace, Instant deadline) {
                throw new IllegalStateException("a plain service holds no models");
            }

            @Override
            public void use(ModelName model) {}

            @Override
            public void leave(ModelName model) {}

            @Override
            public Set<ModelName> loaded() {
                return Set.of();
            }

            @Override
            public Set<ModelName> loading() {
                return Set.of();
            }

            @Override
            public long memoryBytes() {
                return 0;
            }

            @Override
            public long memoryUsedBytes() {
                return 0;
            }
        };
    }
}
