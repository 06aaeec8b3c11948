package io.damaskyoke.standins;

import com.beust.jcommander.Parameter;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** The options of the command line. */
final class StandInOptions {
    @Parameter(names = "--kind", description = "kv, list, weights, engine, service or all")
    private String kind = "all";

    @Parameter(names = "--port", description = "Port on the loopback address; 0: by the kernel")
    private int port;

    @Parameter(names = "--history-events", description = "kv: events kept for watches")
    private int historyEvents = 10_000;

    @Parameter(names = "--lag-ms", description = "list: how late changes show")
    private long lagMillis;

    @Parameter(names = "--load-ms", description = "weights, engine: time of a model load")
    private long loadMillis = 1000;

    @Parameter(names = "--adapter-load-ms", description = "weights, engine: time of an adapter")
    private long adapterLoadMillis = 100;

    @Parameter(names = "--loads-per-second", description = "weights: model loads begun a second")
    private double loadsPerSecond = 5;

    @Parameter(names = "--full-speed-loads", description = "weights: loads at full speed at once")
    private int fullSpeedLoads = 4;

    @Parameter(names = "--full-speed-adapters", description = "weights: the same for adapters")
    private int fullSpeedAdapters = 30;

    @Parameter(names = "--vm", description = "engine: name of the VM, told to the weight store")
    private String vm = "engine-1";

    @Parameter(names = "--memory-bytes", description = "engine: memory for models")
    private long memoryBytes = 80L << 30;

    @Parameter(names = "--max-batch", description = "engine: requests that run at once")
    private int maxBatch = 8;

    @Parameter(names = "--token-ms", description = "engine: time of a token")
    private long tokenMillis = 20;

    @Parameter(names = "--disk-load-ms", description = "engine: load of a model cached on disk")
    private long diskLoadMillis = 200;

    @Parameter(names = "--report-lag-ms", description = "engine: how late GET /load is")
    private long reportLagMillis;

    @Parameter(names = "--weights", description = "engine: URL of the weight store")
    private String weights;

    @Parameter(names = "--cached", description = "engine: models on the disk, with commas")
    private List<String> cached = new ArrayList<>();

    @Parameter(names = "--ignore-fencing", description = "engine: obey orders with old numbers")
    private boolean ignoreFencing;

    @Parameter(names = "--allow-overcommit", description = "engine: count it, but don't refuse")
    private boolean allowOvercommit;

    @Parameter(names = "--work-ms", description = "service: time of a call")
    private long workMillis;

    @Parameter(names = "--help", help = true, description = "Show the options")
    private boolean help;

    String kind() {
        return kind;
    }

    int port() {
        return port;
    }

    int historyEvents() {
        return historyEvents;
    }

    Duration lag() {
        return Duration.ofMillis(lagMillis);
    }

    Duration work() {
        return Duration.ofMillis(workMillis);
    }

    boolean help() {
        return help;
    }

    WeightStoreStandIn.Settings weightStore() {
        return new WeightStoreStandIn.Settings(
                Duration.ofMillis(loadMillis),
                loadsPerSecond,
                fullSpeedLoads,
                Duration.ofMillis(adapterLoadMillis),
                fullSpeedAdapters);
    }

    /** The engine's settings; the given weight store counts if the command line names none. */
    EngineSettings engine(String startedWeights) {
        String url = weights == null ? startedWeights : weights;
        return EngineSettings.builder()
                .vm(vm)
                .memoryBytes(memoryBytes)
                .maxBatch(maxBatch)
                .tokenTime(Duration.ofMillis(tokenMillis))
                .loadTime(Duration.ofMillis(loadMillis))
                .adapterLoadTime(Duration.ofMillis(adapterLoadMillis))
                .diskLoadTime(Duration.ofMillis(diskLoadMillis))
                .reportLag(Duration.ofMillis(reportLagMillis))
                .weights(url == null ? null : URI.create(url))
                .cachedOnDisk(cached)
                .ignoreFencing(ignoreFencing)
                .allowOvercommit(allowOvercommit)
                .build();
    }
}
