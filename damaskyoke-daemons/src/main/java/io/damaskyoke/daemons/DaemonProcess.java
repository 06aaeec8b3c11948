package io.damaskyoke.daemons;

import io.damaskyoke.settings.ProcessSettings;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import sun.misc.Signal;

/** Keeps a daemon's process alive until SIGTERM or SIGINT, then stops the daemon gracefully. */
final class DaemonProcess {
    private static final String LOG_FORMAT = "damaskyoke.log-format";
    private static final int KILLED_BY_SIGNAL = 128;

    private final CountDownLatch stopAsked = new CountDownLatch(1);

    /** Starts the daemon, waits for a signal, stops it, and gives the exit code. */
    static <S> int run(ProcessSettings process, DaemonStarter<S> starter, S settings) {
        // Log4j reads this once, at the first logger; no command makes one before this line.
        System.setProperty(LOG_FORMAT, process.logFormat().name().toLowerCase(Locale.ROOT));
        DaemonProcess self = new DaemonProcess();
        self.listen("TERM");
        self.listen("INT");
        RunningDaemon daemon = starter.start(settings);
        self.awaitSignal();
        daemon.stop();
        return ExitCode.OK;
    }

    /**
     * A JVM that is shutting down ignores a second SIGTERM, and its shutdown hooks run beside each
     * other, so that logs end before the daemon does. The signals are therefore handled here: the
     * first one starts a graceful stop of a JVM that is wholly alive, the second ends it at once.
     */
    private void listen(String signalName) {
        Signal.handle(new Signal(signalName), this::onSignal);
    }

    private void onSignal(Signal signal) {
        if (stopAsked.getCount() == 0) {
            Runtime.getRuntime().halt(KILLED_BY_SIGNAL + signal.getNumber());
        }
        stopAsked.countDown();
    }

    private void awaitSignal() {
        try {
            stopAsked.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
