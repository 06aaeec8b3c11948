package io.damaskyoke.control.replicas;

import io.damaskyoke.id.ModelName;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** The requests queued for one model. */
final class ModelQueue {
    /** Orders by earliest deadline; a load that no request is queued for comes last. */
    static final Comparator<ModelQueue> BY_DEADLINE =
            Comparator.comparing(ModelQueue::deadline).thenComparing(queue -> queue.model);

    final ModelName model;
    final List<ReplicaInput.RequestQueued> requests = new ArrayList<>();

    /**
     * The time until which to load the model even if no request is queued. Callers with short
     * deadlines are refused while the model is cold; unless it is loaded before they retry, each of
     * them would be refused forever.
     */
    Instant prefetchUntil = Instant.MIN;

    ModelQueue(ModelName model) {
        this.model = model;
    }

    Instant deadline() {
        return requests.stream()
                .map(ReplicaInput.RequestQueued::deadline)
                .min(Comparator.naturalOrder())
                .orElse(Instant.MAX);
    }

    boolean isExpired(Instant now) {
        return requests.isEmpty() && !now.isBefore(prefetchUntil);
    }
}
