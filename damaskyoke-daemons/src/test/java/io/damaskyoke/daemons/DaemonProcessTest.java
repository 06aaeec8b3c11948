package io.damaskyoke.daemons;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.damaskyoke.settings.ProcessSettings;
import io.damaskyoke.settings.ProcessSettings.LogFormat;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.apache.logging.log4j.LogManager;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class DaemonProcessTest {
    private static final int KILLED_BY_SIGTERM = 143;

    private Process process;

    @AfterEach
    void end() {
        process.destroyForcibly();
    }

    @Test
    void sigtermStopsTheDaemonGracefully() throws Exception {
        BufferedReader out = start("quick", "text");
        assertEquals("started", out.readLine());
        process.toHandle().destroy();
        assertEquals("stopping", out.readLine());
        assertEquals("stopped", out.readLine());
        assertEquals(0, process.waitFor());
    }

    @Test
    void aSecondSigtermEndsTheProcessAtOnce() throws Exception {
        // An operator stops a daemon whose last request hangs, and gives up on it. A plain JVM
        // would ignore the second signal until the stop is over, which may be minutes away.
        BufferedReader out = start("endless", "text");
        assertEquals("started", out.readLine());
        process.toHandle().destroy();
        assertEquals("stopping", out.readLine());
        process.toHandle().destroy();
        assertEquals(KILLED_BY_SIGTERM, process.waitFor());
        assertNull(out.readLine());
    }

    @Test
    void logLinesAreTextOrJsonAsTheSettingsSay() throws Exception {
        assertTrue(firstLogLine("json").startsWith("{\"@timestamp\":"));
        assertTrue(firstLogLine("text").endsWith(" INFO  DaemonProcessTest up"));
    }

    /** A daemon in a process of its own, as signals go to whole processes. */
    public static void main(String[] arguments) {
        ProcessSettings settings =
                new ProcessSettings(
                        "vm", "a", "secret", LogFormat.valueOf(arguments[1].toUpperCase()), 100);
        boolean endless = arguments[0].equals("endless");
        System.exit(DaemonProcess.run(settings, ignored -> daemon(endless), settings));
    }

    private static RunningDaemon daemon(boolean endless) {
        LogManager.getLogger(DaemonProcessTest.class).info("up");
        System.out.println("started");
        return () -> {
            System.out.println("stopping");
            if (endless) {
                awaitForever();
            }
            System.out.println("stopped");
        };
    }

    private static void awaitForever() {
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private String firstLogLine(String format) throws IOException {
        start("quick", format);
        String line = process.errorReader().readLine();
        process.destroyForcibly();
        return line;
    }

    private BufferedReader start(String... arguments) throws IOException {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        String classpath = System.getProperty("java.class.path");
        process =
                new ProcessBuilder(
                                java,
                                "-Xmx64m",
                                "-cp",
                                classpath,
                                DaemonProcessTest.class.getName(),
                                arguments[0],
                                arguments[1])
                        .start();
        return process.inputReader();
    }
}
