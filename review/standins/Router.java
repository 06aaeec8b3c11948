import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.HttpURLConnection;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * One router, as its own process: the run line of deploy/system.toml, and settings with the names
 * of deploy/settings.toml and the bounds of the site tiram-lease.
 */
final class Router {
    private final String vm;
    private final String zone;
    private final String host;
    private final int callers;
    private final int ready;
    private final Path settings;
    private final Path log;
    private final Record record;
    private Process process;

    Router(int number, String zone, String storeAddress, Path folder, Record record) {
        this.vm = "edge-" + number;
        this.zone = zone;
        this.host = "127.0.0." + (20 + number);
        this.callers = Ports.free(host);
        this.ready = Ports.free(host);
        this.record = record;
        this.settings = folder.resolve(vm + ".toml");
        this.log = folder.resolve(vm + ".log");
        int peer = Ports.free(host);
        int metrics = Ports.free(host);
        String text =
                """
                [process]
                vm = "%s"
                availability-zone = "%s"
                [direct]
                callers = "%s:%d"
                ready = "%s:%d"
                store = "%s"
                metrics-port = %d
                retry-window = "10s"
                retry-ratio = 0.2
                retry-extra = 58
                grace = "8s"
                cpu-share = 0.57
                cpu-cores = 1
                zones = { "a" = "jatim","b" = "jatim","c" = "jatim" }
                [peer]
                host = "%s"
                port = %d
                """.formatted(vm, zone, host, callers, host, ready, storeAddress, metrics, host, peer);
        try {
            Files.writeString(settings, text);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    String vm() {
        return vm;
    }

    String host() {
        return host;
    }

    int callers() {
        return callers;
    }

    Path log() {
        return log;
    }

    void start() {
        try {
            ProcessBuilder builder = new ProcessBuilder(command());
            builder.directory(new File("."));
            Map<String, String> variables = builder.environment();
            variables.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            variables.put("DAMASKYOKE_CONFIG", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = builder.start();
            Process started = process;
            Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
            record.line(vm + " starts, pid " + process.pid());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private List<String> command() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = \"")) {
                String run = line.substring("run = \"".length(), line.lastIndexOf('"'));
                List<String> words = new ArrayList<>();
                for (String word : run.split(" ")) {
                    words.add(word.replace("{{listen.front}}", host + ":" + callers));
                }
                return words;
            }
        }
        throw new IllegalStateException("deploy/system.toml has no run line");
    }

    boolean alive() {
        return process != null && process.isAlive();
    }

    long pid() {
        return process.pid();
    }

    /** Returns how the process ended; call it only once it has. */
    int exit() {
        return process.exitValue();
    }

    boolean awaitEnd(long millis) {
        try {
            return process.waitFor(millis, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Appends the router's own log to the record. */
    void appendLog() {
        try {
            for (String line : Files.readAllLines(log)) {
                record.line(vm + " log: " + line);
            }
        } catch (IOException e) {
            record.line(vm + " has no log: " + e.getMessage());
        }
    }

    /** Sends a signal to this process by its id. */
    void signal(String name) {
        record.line(vm + " gets SIG" + name);
        try {
            new ProcessBuilder("sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    void kill() {
        if (alive()) {
            record.line(vm + " is killed");
            process.destroyForcibly();
            awaitEnd(5_000);
        }
    }

    boolean isReady() {
        try {
            HttpURLConnection call =
                    (HttpURLConnection) new URL("http://" + host + ":" + ready + "/readyz").openConnection();
            call.setConnectTimeout(500);
            call.setReadTimeout(500);
            return call.getResponseCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    boolean awaitReady(long millis) {
        long end = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < end) {
            if (isReady()) {
                return true;
            }
            Worker.pause(100);
        }
        return false;
    }
}
