package io.damaskyoke.agent;

import io.damaskyoke.id.ExchangeId;
import io.damaskyoke.id.ModelName;
import io.damaskyoke.id.WorkspaceId;
import java.time.Instant;
import java.util.Set;

/** The models in the engine's memory, as {@link RequestRunner} needs them; control thread only. */
interface Replicas {
    /** Sees that the model gets into memory; the runner hears of it by its own inputs. */
    void want(ExchangeId id, ModelName model, WorkspaceId workspace, Instant deadline);

    /** The request no longer waits for the model. */
    void giveUp(ExchangeId id, ModelName model);

    /** A request for which the model was ready is over. */
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
            public void want(
                    ExchangeId id, ModelName model, WorkspaceId workspace, Instant deadline) {
                throw new IllegalStateException("a plain service holds no models");
            }

            @Override
            public void giveUp(ExchangeId id, ModelName model) {}

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
