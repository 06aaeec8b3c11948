package io.damaskyoke.standins;

import com.typesafe.config.ConfigFactory;
import java.time.Duration;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.actor.ActorSystem;

/**
 * The actor system and the timer that all stand-ins of a process share.
 *
 * <p>A test may start dozens of stand-ins; with an actor system each they would not fit the memory.
 * The last one to close ends the system.
 */
final class StandInRuntime {
    private static final String SETTINGS =
            """
            pekko.daemonic = on
            pekko.loggers = ["org.apache.pekko.event.slf4j.Slf4jLogger"]
            pekko.logging-filter = "org.apache.pekko.event.slf4j.Slf4jLoggingFilter"
            pekko.loglevel = ERROR
            pekko.stdout-loglevel = OFF
            pekko.log-dead-letters = off
            pekko.coordinated-shutdown.run-by-jvm-shutdown-hook = off
            pekko.actor.default-dispatcher.fork-join-executor.parallelism-max = 2
            pekko.actor.internal-dispatcher.fork-join-executor.parallelism-min = 2
            pekko.actor.internal-dispatcher.fork-join-executor.parallelism-max = 2
            pekko.http.server.request-timeout = infinite
            pekko.http.server.idle-timeout = infinite
            pekko.http.client.idle-timeout = infinite
            pekko.http.host-connection-pool.max-connections = 64
            pekko.http.host-connection-pool.max-open-requests = 256
            pekko.http.host-connection-pool.max-retries = 0
            """;

    private static StandInRuntime shared;
    private static int users;

    private final ActorSystem system;
    private final ScheduledThreadPoolExecutor timer;

    private StandInRuntime() {
        system =
                ActorSystem.create(
                        "standins",
                        ConfigFactory.parseString(SETTINGS).withFallback(ConfigFactory.load()));
        timer = new ScheduledThreadPoolExecutor(1, StandInRuntime::timerThread);
        timer.setRejectedExecutionHandler(new ThreadPoolExecutor.DiscardPolicy());
    }

    static synchronized StandInRuntime acquire() {
        if (users == 0) {
            shared = new StandInRuntime();
        }
        users++;
        return shared;
    }

    static synchronized void release() {
        users--;
        if (users == 0) {
            shared.timer.shutdownNow();
            shared.system.terminate();
            shared = null;
        }
    }

    ActorSystem system() {
        return system;
    }

    /** Runs the task later; a task that comes after the shutdown is dropped. */
    void after(Duration delay, Runnable task) {
        timer.schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
    }

    private static Thread timerThread(Runnable task) {
        Thread thread = new Thread(task, "standins-timer");
        thread.setDaemon(true);
        return thread;
    }
}
