package io.damaskyoke.direct;

import io.damaskyoke.follow.PollTiming;
import java.time.Duration;

/** Sets how often a direct router polls the store for each kind of key. */
final class StorePollTimings {
    /** The operators' configuration, which must be in force within 2 s. */
    static final PollTiming CONFIGURATION =
            new PollTiming(Duration.ofMillis(1_200), Duration.ofMillis(400));

    /** Entries of upstreams: a dozen of them change ten times a second, and each call costs. */
    static final PollTiming UPSTREAMS =
            new PollTiming(Duration.ofMillis(600), Duration.ofMillis(800));

    /** The list of routers, and the lease of the leader. */
    static final PollTiming ROUTERS =
            new PollTiming(Duration.ofMillis(2_500), Duration.ofMillis(800));

    private StorePollTimings() {}
}
