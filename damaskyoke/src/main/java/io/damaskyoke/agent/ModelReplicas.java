package io.damaskyoke.agent;

import io.damaskyoke.id.ExchangeId;
import io.damaskyoke.id.ModelName;
import io.damaskyoke.id.WorkspaceId;
import java.time.Instant;
import java.util.Set;

/**
 * Gives {@link RequestRunner} access to the models in the engine's memory: a request acquires a
 * model, waits until it is ready and releases it afterwards. Control thread only.
 */
interface ModelReplicas {
    /**
     * Requests that the model be loaded for a request. The result reaches the runner as a serving
     * input.
     */
    void acquire(ExchangeId id, ModelName model, WorkspaceId workspace, Instant deadline);

    /** Records that the request no longer waits for the model. */
    void cancelAcquire(ExchangeId id, ModelName model);

    /** Records that a request for which the model was ready has finished. */
    void release(ModelName model);

    /** Returns the models that are ready to serve. */
    Set<ModelName> loaded();

    /** Returns the models that are being loaded. */
    Set<ModelName> loading();

    /** Returns the memory that the engine has for models, in bytes. */
    long memoryBytes();

    /** Returns the part of that memory that is used or reserved, in bytes. */
    long memoryUsedBytes();

    /** Returns an implementation for an upstream that is a plain service and holds no models. */
    static ModelReplicas none() {
        return new ModelReplicas() {
            @Override
            public void acquire(
                    ExchangeId id, ModelName model, WorkspaceId workspace, Instant deadline) {
                throw new IllegalStateException("a plain service holds no models");
            }

            @Override
            public void cancelAcquire(ExchangeId id, ModelName model) {}

            @Override
            public void release(ModelName model) {}

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
