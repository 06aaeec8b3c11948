package io.damaskyoke.daemons;

import java.nio.file.Path;
import java.util.Set;

/**
 * Ways to harm a {@link TestFleet} some of whose routers and agents are processes of their own.
 *
 * <p>{@code TestFleet.builder().launcher(ProcessFleet.in(dir, "engine-1")).start()}
 */
final class ProcessFleet {
    private ProcessFleet() {}

    /**
     * Launches these as processes with settings and logs in this folder, and all others, which the
     * test doesn't harm, in the JVM of the test: a JVM takes seconds to start on a busy machine.
     */
    static FleetProcess.Launcher in(Path dir, String... harmed) {
        Set<String> children = Set.of(harmed);
        return (role, name, toml) ->
                children.contains(name)
                        ? ChildProcess.launch(dir, role, name, toml)
                        : InJvmProcess.launch(role, name, toml);
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
