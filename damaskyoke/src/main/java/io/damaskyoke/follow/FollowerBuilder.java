package io.damaskyoke.follow;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.platform.PolledStore;
import java.util.Objects;

/** Gathers what a follower needs; {@link #tell} makes it. */
public final class FollowerBuilder {
    final String name;
    String prefix;
    PolledStore store;
    Pace pace;
    ControlThread control;
    Metrics metrics;
    Relay relay = Relay.none();

    FollowerBuilder(String name) {
        this.name = Objects.requireNonNull(name, "a follower needs a name");
    }

    /** What the followed keys begin with. */
    public FollowerBuilder under(String given) {
        prefix = given;
        return this;
    }

    /** Where the keys are. */
    public FollowerBuilder in(PolledStore given) {
        store = given;
        return this;
    }

    /** How often it asks. */
    public FollowerBuilder at(Pace given) {
        pace = given;
        return this;
    }

    /** The thread that it belongs to. */
    public FollowerBuilder on(ControlThread given) {
        control = given;
        return this;
    }

    /** Where it counts. */
    public FollowerBuilder counting(Metrics given) {
        metrics = given;
        return this;
    }

    /** Who is asked before the store, if somebody is there to ask. */
    public FollowerBuilder by(Relay given) {
        relay = given;
        return this;
    }

    /** Makes the follower, which tells the listener from its start on. */
    public Follower tell(ChangeListener listener) {
        return new Follower(this, listener);
    }
}
