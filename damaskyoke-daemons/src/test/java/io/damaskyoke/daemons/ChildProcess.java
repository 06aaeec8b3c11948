package io.damaskyoke.daemons;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A router or an agent in a JVM of its own, which can be killed and paused. */
final class ChildProcess implements FleetProcess {
    private static final long STOP_LIMIT_SECONDS = 40;
    private static final List<String> FLAGS =
            List.of("-Xmx64m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");

    private final Process process;
    private final JsonNode ready;

    private ChildProcess(Process process, JsonNode ready) {
        this.process = process;
        this.ready = ready;
    }

    /** Starts the process and returns once it has printed its ready line. */
    static ChildProcess launch(Path dir, String role, String name, String toml) {
        try {
            Path settings = Files.writeString(dir.resolve(name + ".toml"), toml);
            Process process = command(role, settings, dir.resolve(name + ".log")).start();
            String line = process.inputReader().readLine();
            if (line == null) {
                throw new IllegalStateException(
                        name + " did not start: " + Files.readString(dir.resolve(name + ".log")));
            }
            return new ChildProcess(process, FleetClient.json(line));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public JsonNode ready() {
        return ready;
    }

    /** SIGTERM, without waiting for the end. */
    void terminate() {
        process.destroy();
    }

    /** SIGKILL. */
    void kill() {
        process.destroyForcibly();
        await();
    }

    /** SIGSTOP: as a VM that is paused. */
    void freeze() {
        signal("STOP");
    }

    /** SIGCONT. */
    void thaw() {
        signal("CONT");
    }

    /** Waits for the end and gives the exit code. */
    int await() {
        try {
            if (!process.waitFor(STOP_LIMIT_SECONDS, TimeUnit.SECONDS)) {
                process.destroyForcibly().waitFor();
                throw new IllegalStateException("process " + process.pid() + " did not stop");
            }
            return process.exitValue();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void stop() {
        if (process.isAlive()) {
            thaw();
            terminate();
            await();
        }
    }

    private void signal(String name) {
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static ProcessBuilder command(String role, Path settings, Path log) {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        ProcessBuilder builder = new ProcessBuilder(java);
        builder.command().addAll(FLAGS);
        builder.command().addAll(List.of("-cp", System.getProperty("java.class.path")));
        builder.command().addAll(List.of(Main.class.getName(), role));
        builder.command().addAll(List.of("--settings", settings.toString()));
        return builder.redirectError(log.toFile());
    }
}
