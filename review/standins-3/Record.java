import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;

/** What was sent, answered and run, with the milliseconds since the start: {@code record.txt}. */
final class Record {
    private static final long START = System.nanoTime();
    private static PrintStream out = System.out;

    private Record() {}

    static void open(Path file) throws IOException {
        out = new PrintStream(file.toFile());
    }

    static long now() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    static synchronized void line(String form, Object... with) {
        out.printf("%7d ", now());
        out.printf(form, with);
        out.println();
        out.flush();
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
