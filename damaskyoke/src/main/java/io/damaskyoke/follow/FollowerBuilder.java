package io.damaskyoke.follow;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.platform.PolledStore;
import java.util.Objects;

/** Collects the settings of a {@link Follower}; {@link #build} builds it. */
public final class FollowerBuilder {
    final String name;
    String prefix;
    PolledStore store;
    PollTiming timing;
    ControlThread control;
    Metrics metrics;
    Relay relay = Relay.none();

    FollowerBuilder(String name) {
        this.name = Objects.requireNonNull(name, "a follower needs a name");
    }

    /** Sets the prefix of the followed keys. */
    public FollowerBuilder under(String given) {
        prefix = given;
        return this;
    }

    /** Sets the store that holds the keys. */
    public FollowerBuilder in(PolledStore given) {
        store = given;
        return this;
    }

    /** Sets how often the store is polled. */
    public FollowerBuilder at(PollTiming given) {
        timing = given;
        return this;
    }

    /** Sets the control thread that the follower runs on. */
    public FollowerBuilder on(ControlThread given) {
        control = given;
        return this;
    }

    /** Sets the metrics that the follower reports to. */
    public FollowerBuilder counting(Metrics given) {
        metrics = given;
        return this;
    }

    /** Sets the relay that is asked instead of the store while it is available. */
    public FollowerBuilder via(Relay given) {
        relay = given;
        return this;
    }

    /** Builds the follower, which passes entries and changes to the listener once started. */
    public Follower build(ChangeListener listener) {
        return new Follower(this, listener);
    }
}
