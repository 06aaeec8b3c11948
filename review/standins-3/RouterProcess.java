import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * A router as a process of its own, started by the run line of the deploy file in the repository's
 * root, with a settings file in the form of deploy/settings.toml.
 */
final class RouterProcess {
    private static final List<RouterProcess> STARTED =
            Collections.synchronizedList(new ArrayList<>());
    private static final Set<Integer> GIVEN_PORTS = new HashSet<>();

    private final Path root;
    private final Path folder;
    private final String name;
    private final Path settings;
    final String host;
    final int port;
    private final int ready;
    private Process process;
    private int starts;

    RouterProcess(Path root, Path folder, int number, String store) throws IOException {
        this.root = root;
        this.folder = folder;
        this.name = "edge-zone-a-" + number;
        this.host = "127.0.7." + number;
        this.port = freePort(host);
        this.ready = freePort(host);
        this.settings = folder.resolve(name + ".toml");
        String text =
                """
                [process]
                vm = "%s"
                availability-zone = "zone-a"

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
                zones = { "zone-a" = "region" }

                [peer]
                host = "%s"
                port = %d
                """
                        .formatted(name, host, port, host, ready, store, freePort(host), host, freePort(host));
        Files.writeString(settings, text);
        STARTED.add(this);
    }

    // The system may give a port again that was given and closed before.
    private static synchronized int freePort(String host) throws IOException {
        while (true) {
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
                if (GIVEN_PORTS.add(socket.getLocalPort())) {
                    return socket.getLocalPort();
                }
            }
        }
    }

    void start() throws IOException {
        String run = "";
        boolean router = false;
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            router |= line.equals("[roles.router]");
            if (router && line.startsWith("run = ")) {
                run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        run = run.replace("{{listen.front}}", host + ":" + port);
        ProcessBuilder builder = new ProcessBuilder(run.split(" "));
        builder.directory(root.toFile());
        builder.environment().keySet().removeIf(key -> !List.of("PATH", "HOME", "JAVA_HOME", "LANG").contains(key));
        builder.environment().put("DAMASKYOKE_CONFIG", settings.toString());
        File log = folder.resolve(name + "-" + ++starts + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(log);
        process = builder.start();
        Record.line("router %s started, pid %d", name, process.pid());
    }

    boolean isReady() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(host, ready), 500);
            socket.setSoTimeout(1000);
            OutputStream out = socket.getOutputStream();
            out.write("GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            InputStream in = socket.getInputStream();
            Http answer = Http.head(in);
            return answer != null && answer.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    void awaitReady(long millis) {
        long end = Record.now() + millis;
        while (!isReady()) {
            if (Record.now() > end) {
                throw new IllegalStateException("router " + name + " isn't ready");
            }
            Record.sleep(100);
        }
        Record.line("router %s is ready", name);
    }

    String name() {
        return name;
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    void signal(String signal) throws IOException {
        Record.line("router %s gets SIG%s", name, signal);
        try {
            // The shell's own kill, as not every machine has the program.
            String command = "kill -" + signal + " " + process.pid();
            new ProcessBuilder("sh", "-c", command).start().waitFor();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    void awaitEnd() {
        try {
            process.waitFor();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static void endAll() {
        for (RouterProcess each : List.copyOf(STARTED)) {
            if (each.isAlive()) {
                each.process.destroyForcibly();
                each.awaitEnd();
            }
        }
    }
}
