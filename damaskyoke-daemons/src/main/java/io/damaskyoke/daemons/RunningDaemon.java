package io.damaskyoke.daemons;

/** A daemon that runs until it is told to stop. */
@FunctionalInterface
interface RunningDaemon {

    /** Stops gracefully: returns once what ran is finished, or the settings' limit is over. */
    void stop();
}
