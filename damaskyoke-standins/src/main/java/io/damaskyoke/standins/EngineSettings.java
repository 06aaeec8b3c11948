package io.damaskyoke.standins;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Objects;

/** How an engine stand-in behaves. */
public final class EngineSettings {
    private static final long DEFAULT_MEMORY_BYTES = 80L << 30;
    private static final int DEFAULT_BATCH = 8;

    private final Builder values;

    private EngineSettings(Builder values) {
        this.values = values;
    }

    public static Builder builder() {
        return new Builder();
    }

    public String vm() {
        return values.vm;
    }

    public long memoryBytes() {
        return values.memoryBytes;
    }

    public int maxBatch() {
        return values.maxBatch;
    }

    public Duration tokenTime() {
        return values.tokenTime;
    }

    public Duration loadTime() {
        return values.loadTime;
    }

    public Duration adapterLoadTime() {
        return values.adapterLoadTime;
    }

    public Duration diskLoadTime() {
        return values.diskLoadTime == null ? values.loadTime : values.diskLoadTime;
    }

    public Duration reportLag() {
        return values.reportLag;
    }

    /** Where the weight store is, or null for none. */
    public URI weights() {
        return values.weights;
    }

    public List<String> cachedOnDisk() {
        return values.cachedOnDisk;
    }

    public boolean ignoreFencing() {
        return values.ignoreFencing;
    }

    public boolean allowOvercommit() {
        return values.allowOvercommit;
    }

    /** Collects the settings; what isn't set keeps a default that suits a test. */
    public static final class Builder {
        private String vm = "engine-1";
        private long memoryBytes = DEFAULT_MEMORY_BYTES;
        private int maxBatch = DEFAULT_BATCH;
        private Duration tokenTime = Duration.ZERO;
        private Duration loadTime = Duration.ZERO;
        private Duration adapterLoadTime = Duration.ZERO;
        private Duration diskLoadTime;
        private Duration reportLag = Duration.ZERO;
        private URI weights;
        private List<String> cachedOnDisk = List.of();
        private boolean ignoreFencing;
        private boolean allowOvercommit;

        private Builder() {}

        public Builder vm(String name) {
            vm = Objects.requireNonNull(name, "name");
            return this;
        }

        public Builder memoryBytes(long bytes) {
            memoryBytes = bytes;
            return this;
        }

        public Builder maxBatch(int requests) {
            maxBatch = requests;
            return this;
        }

        public Builder tokenTime(Duration time) {
            tokenTime = time;
            return this;
        }

        public Builder loadTime(Duration time) {
            loadTime = time;
            return this;
        }

        public Builder adapterLoadTime(Duration time) {
            adapterLoadTime = time;
            return this;
        }

        /** The time of a load from the disk; it needs no weight store. */
        public Builder diskLoadTime(Duration time) {
            diskLoadTime = time;
            return this;
        }

        public Builder reportLag(Duration lag) {
            reportLag = lag;
            return this;
        }

        /** Asks this weight store for each model that isn't on the disk. */
        public Builder weights(URI url) {
            weights = url;
            return this;
        }

        public Builder cachedOnDisk(List<String> models) {
            cachedOnDisk = List.copyOf(models);
            return this;
        }

        public Builder ignoreFencing(boolean ignore) {
            ignoreFencing = ignore;
            return this;
        }

        public Builder allowOvercommit(boolean allow) {
            allowOvercommit = allow;
            return this;
        }

        /** Checks the values and builds the settings. */
        public EngineSettings build() {
            if (memoryBytes <= 0 || maxBatch < 1) {
                throw new IllegalArgumentException("Memory and max batch must be above 0");
            }
            for (Duration time : List.of(tokenTime, loadTime, adapterLoadTime, reportLag)) {
                if (time.isNegative()) {
                    throw new IllegalArgumentException("A time can't be negative: " + time);
                }
            }
            if (weights != null && !StandInServer.LOOPBACK.equals(weights.getHost())) {
                throw new IllegalArgumentException(
                        "The weight store must be on " + StandInServer.LOOPBACK + ": " + weights);
            }
            return new EngineSettings(this);
        }
    }
}
