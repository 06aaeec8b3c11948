package io.damaskyoke.daemons;

import java.nio.file.Path;

/**
 * Ways to harm a {@link TestFleet} whose routers and agents are processes of their own.
 *
 * <p>{@code TestFleet fleet = TestFleet.builder().launcher(ProcessFleet.in(dir)).start()}
 */
final class ProcessFleet {
    private ProcessFleet() {}

    /** Launches processes that keep settings and logs in this folder. */
    static FleetProcess.Launcher in(Path dir) {
        return (role, name, toml) -> ChildProcess.launch(dir, role, name, toml);
    }

    /** SIGKILL; returns when it is dead. */
    static void kill(TestFleet fleet, String name) {
        child(fleet, name).kill();
    }

    /** SIGSTOP. */
    static void freeze(TestFleet fleet, String name) {
        child(fleet, name).freeze();
    }

    /** SIGCONT. */
    static void thaw(TestFleet fleet, String name) {
        child(fleet, name).thaw();
    }

    /** SIGTERM; returns at once. */
    static void terminate(TestFleet fleet, String name) {
        child(fleet, name).terminate();
    }

    /** Waits for the end of a process that was told to stop; gives its exit code. */
    static int awaitExit(TestFleet fleet, String name) {
        return child(fleet, name).await();
    }

    private static ChildProcess child(TestFleet fleet, String name) {
        return (ChildProcess) fleet.process(name);
    }
}
