import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** A temporary folder, which is deleted at the end. */
final class Folder implements AutoCloseable {
    private final Path path;

    Folder() {
        try {
            path = Files.createTempDirectory("review");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    Path path() {
        return path;
    }

    @Override
    public void close() {
        try (Stream<Path> all = Files.walk(path)) {
            List<Path> found = all.sorted(Comparator.reverseOrder()).toList();
            for (Path each : found) {
                Files.deleteIfExists(each);
            }
        } catch (IOException e) {
            // What is left over does no harm.
        }
    }
}
