package io.damaskyoke.control.loads;

import io.damaskyoke.control.upstreams.ModelRef;
import java.time.Instant;

/** An order that was sent and is not finished. */
record PendingOrder(
        long number,
        OrderOperation operation,
        ModelRef model,
        LoadSource source,
        Instant sentAt,
        boolean accepted,
        Instant dueAt) {
    boolean loadsFromStore() {
        return operation == OrderOperation.LOAD
                && source == LoadSource.STORE
                && !model.hasAdapter();
    }

    PendingOrder asAccepted(Instant due) {
        return new PendingOrder(number, operation, model, source, sentAt, true, due);
    }
}
