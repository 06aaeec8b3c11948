package io.damaskyoke.control.upstreams;

import io.damaskyoke.http.Endpoint;
import java.time.Duration;
import java.util.Set;

/** Entries of upstreams in zone {@code a} that are warm and have no copies of models. */
public final class TestFacts {
    private TestFacts() {}

    /** Returns an entry of this revision. */
    public static UpstreamFacts of(
            String id, long revision, String service, int slots, HeldModels held) {
        return new UpstreamFacts(
                UpstreamId.of(id),
                revision,
                service,
                new Endpoint("127.0.0.1", 1),
                "a",
                slots,
                false,
                Duration.ZERO,
                held,
                Set.of(),
                Set.of());
    }
}
