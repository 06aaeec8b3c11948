package io.damaskyoke.upstream;

import io.damaskyoke.control.configuration.Model;
import io.damaskyoke.id.ModelName;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/** A model engine: an upstream that can be told what to hold in memory. */
public interface Engine extends Upstream {
    /** Orders a load; completes when the engine says it is ready to serve. */
    CompletionStage<Void> load(Model model, long fencing);

    /** Orders an unload; completes when the engine says the memory is free. */
    CompletionStage<Void> unload(ModelName model, long fencing);

    /** What the engine holds and does; it may lag behind the truth. */
    CompletionStage<Report> report();

    /**
     * An engine's report.
     *
     * @param memoryBytes what there is for models and adapters
     * @param memoryUsedBytes what is taken
     * @param loaded ready to serve
     * @param loading being loaded
     * @param cached checkpoints on the VM's disk
     * @param running requests in the present batch
     * @param waiting requests that wait for it
     */
    record Report(
            long memoryBytes,
            long memoryUsedBytes,
            List<Held> loaded,
            List<Held> loading,
            List<ModelName> cached,
            int running,
            int waiting) {}

    /**
     * A model in the engine's memory.
     *
     * @param model its name
     * @param memoryBytes what it takes
     * @param version which weights, if the engine says so
     */
    record Held(ModelName model, long memoryBytes, Optional<String> version) {}
}
