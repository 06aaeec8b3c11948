import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

/** What the cases share: the record, the routers, the exit code, and the end of all processes. */
final class Case {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    private static final int READY_MILLIS = 20_000;

    /** A case may take 120 s. */
    private static final int LIMIT_MILLIS = 115_000;

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final Path root;
    private final Path folder;
    private final AtomicInteger lastNumber = new AtomicInteger();

    /** One case; returns its exit code. */
    interface Play {
        int play(Case with) throws Exception;
    }

    private Case(Path root, Path folder) {
        this.root = root;
        this.folder = folder;
    }

    /** Plays a case; the arguments are the repository's root and the folder of the case. */
    static void run(String[] arguments, Play play) throws IOException {
        Record.open(Path.of(arguments[1]).resolve("record.txt"));
        Path folder = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(RouterProcess::endAll));
        Thread limit = new Thread(Case::endLate);
        limit.setDaemon(true);
        limit.start();
        int exit = COULD_NOT_RUN;
        try {
            Case with = new Case(Path.of(arguments[0]).toAbsolutePath(), folder);
            Record.line("trouble: %s", with.trouble);
            exit = play.play(with);
        } catch (Throwable e) {
            Record.line("could not run: %s", e);
        }
        RouterProcess.endAll();
        logLines(folder);
        Record.line("exit %d", exit);
        delete(folder);
        System.exit(exit);
    }

    private static void endLate() {
        Record.sleep(LIMIT_MILLIS);
        Record.line("could not run: not over after %d ms", LIMIT_MILLIS);
        RouterProcess.endAll();
        Runtime.getRuntime().halt(COULD_NOT_RUN);
    }

    /** Starts a fleet of routers with the next numbers and waits until all of them are ready. */
    List<RouterProcess> startRouters(int count, Store store) throws IOException {
        List<RouterProcess> routers = new ArrayList<>();
        for (int started = 0; started < count; started++) {
            int number = lastNumber.incrementAndGet();
            RouterProcess router = new RouterProcess(root, folder, number, store.address());
            router.start();
            routers.add(router);
        }
        for (RouterProcess router : routers) {
            router.awaitReady(READY_MILLIS);
        }
        return routers;
    }

    // The routers' own warnings and errors belong to what is seen.
    private static void logLines(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.filter(each -> each.toString().endsWith(".log")).sorted().toList()) {
                Files.readAllLines(file).stream()
                        .filter(line -> line.contains(" ERROR "))
                        .limit(3)
                        .forEach(line -> Record.line("log %s: %s", file.getFileName(), line));
            }
        }
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(folder);
    }
}
