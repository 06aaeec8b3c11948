package io.damaskyoke.direct;

import io.damaskyoke.follow.Pace;
import java.time.Duration;

/** How often a router asks the store for what. */
final class Paces {
    /** The operators' configuration, which may take two seconds to be in force. */
    static final Pace CONFIGURATION = new Pace(Duration.ofMillis(1_200), Duration.ofMillis(400));

    /** The entries of a dozen upstreams change ten times a second, and each call has a price. */
    static final Pace UPSTREAMS = new Pace(Duration.ofMillis(600), Duration.ofMillis(800));

    /** Who is a router, and who gives the orders. */
    static final Pace ROUTERS = new Pace(Duration.ofMillis(2_500), Duration.ofMillis(800));

    private Paces() {}
}
