package io.damaskyoke.control.replicas;

import io.damaskyoke.id.ModelName;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** The requests that wait for one model. */
final class Want {
    /** Who must have it first comes first; a load that nobody waits for comes last. */
    static final Comparator<Want> BY_DEADLINE =
            Comparator.comparing(Want::deadline).thenComparing(want -> want.model);

    final ModelName model;
    final List<ReplicaInput.Wanted> waiters = new ArrayList<>();

    /**
     * Until when to load even if nobody waits. Callers with short deadlines are refused while the
     * model is cold; unless it is loaded for their return, each would be refused for ever.
     */
    Instant prefetchUntil = Instant.MIN;

    Want(ModelName model) {
        this.model = model;
    }

    Instant deadline() {
        return waiters.stream()
                .map(ReplicaInput.Wanted::deadline)
                .min(Comparator.naturalOrder())
                .orElse(Instant.MAX);
    }

    boolean isOver(Instant now) {
        return waiters.isEmpty() && !now.isBefore(prefetchUntil);
    }
}
