package io.damaskyoke.standins;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;

/**
 * Starts stand-ins from the command line and prints a line of JSON with the URL of each.
 *
 * <p>They run until the process is told to stop.
 */
public final class StandIns {
    private static final int USAGE_ERROR = 2;
    private static final List<String> KINDS = List.of("kv", "list", "weights", "engine", "service");

    private final List<AutoCloseable> started = new ArrayList<>();
    private final StandInOptions options;
    private String weightsUrl;

    private StandIns(StandInOptions options) {
        this.options = options;
    }

    /** Starts what the options name, and stays until the process ends. */
    public static void main(String[] args) throws InterruptedException {
        StandInOptions options = new StandInOptions();
        JCommander commander = JCommander.newBuilder().addObject(options).build();
        commander.setProgramName("standins");
        StandIns standIns = new StandIns(options);
        try {
            commander.parse(args);
            if (options.help()) {
                commander.usage();
                return;
            }
            Runtime.getRuntime().addShutdownHook(new Thread(standIns::close));
            standIns.start();
        } catch (ParameterException | IllegalArgumentException | IllegalStateException e) {
            System.err.println(e.getMessage());
            System.exit(USAGE_ERROR);
        }
        new CountDownLatch(1).await();
    }

    private void start() {
        if (!options.kind().equals("all")) {
            start(options.kind());
            return;
        }
        if (options.port() != 0) {
            throw new IllegalArgumentException("With --kind all the port must be 0");
        }
        KINDS.forEach(this::start);
    }

    private void start(String kind) {
        InstantSource clock = InstantSource.system();
        int port = options.port();
        switch (kind) {
            case "kv":
                KeyValueStandIn kv = KeyValueStandIn.start(port, clock, options.historyEvents());
                started(kind, kv, kv.url());
                break;
            case "list":
                VmListStandIn list = VmListStandIn.start(port, options.lag(), clock);
                started(kind, list, list.url());
                break;
            case "weights":
                WeightStoreStandIn weights = WeightStoreStandIn.start(port, options.weightStore());
                weightsUrl = weights.url();
                started(kind, weights, weightsUrl);
                break;
            case "engine":
                EngineStandIn engine = EngineStandIn.start(port, options.engine(weightsUrl), clock);
                started(kind, engine, engine.url());
                break;
            case "service":
                ServiceStandIn service = ServiceStandIn.start(port, options.work(), clock);
                started(kind, service, service.url());
                break;
            default:
                throw new IllegalArgumentException(
                        "--kind must be all or one of " + KINDS + ", not " + kind);
        }
    }

    private synchronized void started(String kind, AutoCloseable standIn, String url) {
        started.add(standIn);
        ObjectNode line = Json.object();
        line.put("kind", kind);
        line.put("url", url);
        System.out.println(line);
    }

    private synchronized void close() {
        Collections.reverse(started);
        for (AutoCloseable standIn : started) {
            try {
                standIn.close();
            } catch (Exception e) {
                System.err.println("Can't close a stand-in: " + e);
            }
        }
    }
}
