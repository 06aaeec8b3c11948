import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/** One router, started with the command of the deploy file. */
final class Router {
    private static final AtomicInteger NEXT_PORT =
            new AtomicInteger(12_000 + new Random().nextInt(18_000));

    final String name;
    final String host;
    final int callers;
    private final int ready;
    private final Path settings;
    private final Path log;
    private final Path repository;
    private Process process;

    Router(String name, String host, int store, Path repository, Path folder) throws IOException {
        this.name = name;
        this.host = host;
        this.repository = repository;
        this.callers = freePort();
        this.ready = freePort();
        this.settings = folder.resolve(name + ".toml");
        this.log = folder.resolve(name + ".log");
        // As deploy/settings.toml is filled in for a machine of a small site.
        Files.writeString(
                settings,
                "[process]\nvm = \"" + name + "\"\navailability-zone = \"z-a\"\n\n"
                        + "[direct]\ncallers = \"" + host + ":" + callers + "\"\n"
                        + "ready = \"" + host + ":" + ready + "\"\n"
                        + "store = \"" + host + ":" + store + "\"\n"
                        + "metrics-port = " + freePort() + "\n"
                        + "retry-window = \"10s\"\nretry-ratio = 0.2\nretry-extra = 58\n"
                        + "grace = \"8s\"\ncpu-share = 0.57\ncpu-cores = 1\n"
                        + "zones = { \"z-a\" = \"region-a\" }\n\n"
                        + "[peer]\nhost = \"" + host + "\"\nport = " + freePort() + "\n");
    }

    /** A free port below those that outgoing connections get, which could take it meanwhile. */
    static int freePort() throws IOException {
        for (int i = 0; i < 1_000; i++) {
            try (ServerSocket socket = new ServerSocket()) {
                socket.bind(new InetSocketAddress(NEXT_PORT.incrementAndGet()));
                return socket.getLocalPort();
            } catch (java.net.BindException e) {
                // The next one, then.
            }
        }
        throw new IOException("no free port");
    }

    void start() throws IOException {
        String run =
                Files.readAllLines(repository.resolve("deploy/system.toml")).stream()
                        .filter(line -> line.startsWith("run = \""))
                        .findFirst()
                        .orElseThrow();
        run = run.substring(7, run.lastIndexOf('"'));
        run = run.replace("{{listen.front}}", host + ":" + callers);
        ProcessBuilder builder = new ProcessBuilder(List.of(run.split(" ")));
        builder.environment().put("DAMASKYOKE_CONFIG", settings.toString());
        builder.directory(repository.toFile());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
    }

    void awaitReady() throws InterruptedException {
        for (int i = 0; i < 600; i++) {
            try (Socket socket = new Socket(host, ready)) {
                socket.setSoTimeout(1_000);
                socket.getOutputStream()
                        .write("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.UTF_8));
                if (Http.line(socket.getInputStream()).contains(" 200")) {
                    return;
                }
            } catch (IOException e) {
                // Not up yet.
            }
            Thread.sleep(25);
        }
        throw new IllegalStateException(name + " doesn't become ready");
    }

    void signalKill() {
        if (process != null) {
            process.destroyForcibly();
        }
    }

    /** Sends SIGKILL and waits for the end. */
    void kill() throws InterruptedException {
        if (process != null) {
            process.destroyForcibly().waitFor();
        }
    }
}
