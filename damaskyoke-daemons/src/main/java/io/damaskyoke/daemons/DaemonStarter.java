package io.damaskyoke.daemons;

/**
 * Starts a daemon from its settings.
 *
 * @param <S> the settings
 */
@FunctionalInterface
interface DaemonStarter<S> {

    /** Starts the daemon and returns once it takes work. */
    RunningDaemon start(S settings);
}
