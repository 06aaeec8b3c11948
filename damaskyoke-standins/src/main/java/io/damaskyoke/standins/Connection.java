package io.damaskyoke.standins;

import java.io.IOException;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.apache.pekko.NotUsed;
import org.apache.pekko.stream.KillSwitches;
import org.apache.pekko.stream.OverflowStrategy;
import org.apache.pekko.stream.SharedKillSwitch;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.util.ByteString;

/** One caller's TCP connection: tells when it goes away, and can be aborted. */
final class Connection {
    // The reader must stay ahead of the HTTP parser: the parser stops reading while a request
    // runs, and a caller that hangs up would go unnoticed until the request had ended.
    private static final int READ_AHEAD = 16;

    private final SharedKillSwitch killSwitch = KillSwitches.shared("connection");
    private final Set<Runnable> closeTasks = new LinkedHashSet<>();
    private boolean closed;
    private volatile boolean watching;

    /** Puts the switch and the look-out around the bytes of the connection. */
    Flow<ByteString, ByteString, NotUsed> guard(Flow<ByteString, ByteString, ?> tcp) {
        return Flow.of(ByteString.class)
                .via(killSwitch.flow())
                .via(tcp)
                .watchTermination(
                        (unused, done) -> {
                            done.whenComplete((ok, error) -> close());
                            return unused;
                        })
                .via(killSwitch.flow())
                .buffer(READ_AHEAD, OverflowStrategy.backpressure());
    }

    /** Resets the connection, so that the caller sees it break without an answer. */
    void abort() {
        killSwitch.abort(new IOException("aborted by the stand-in"));
    }

    /** Runs the task when the connection goes away, which may be now. */
    void onClose(Runnable task) {
        synchronized (this) {
            if (!closed) {
                closeTasks.add(task);
                return;
            }
        }
        task.run();
    }

    /**
     * Takes back a task; without this a long-lived connection would gather one for each request.
     */
    synchronized void forget(Runnable task) {
        closeTasks.remove(task);
    }

    /** Marks whether the connection carries a watch, which is cut when the stand-in goes down. */
    void markWatching(boolean open) {
        watching = open;
    }

    boolean watching() {
        return watching;
    }

    private void close() {
        List<Runnable> tasks;
        synchronized (this) {
            closed = true;
            tasks = List.copyOf(closeTasks);
            closeTasks.clear();
        }
        tasks.forEach(Runnable::run);
    }
}
