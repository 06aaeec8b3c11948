package io.damaskyoke.direct;

import io.damaskyoke.control.upstreams.HeldModels;
import io.damaskyoke.control.upstreams.UpstreamFacts;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.damaskyoke.http.Endpoint;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.Set;

/** The true state of a simulated upstream; routers see only its list entry and its answers. */
final class ColdStartUpstream {
    private static final Duration HEARTBEAT = Duration.ofMillis(1_200);
    private static final Duration SECOND = Duration.ofSeconds(1);
    private static final int SLOTS = 48;

    private final ColdStartSimulation simulation;
    private final String id;
    private final String zone;
    private final ArrayDeque<Instant> arrivals = new ArrayDeque<>();
    private boolean up;
    private boolean silent;
    private long incarnation;
    private long revision;
    private Instant coldUntil = Instant.MIN;

    ColdStartUpstream(ColdStartSimulation simulation, String id, String zone) {
        this.simulation = simulation;
        this.id = id;
        this.zone = zone;
    }

    String id() {
        return id;
    }

    boolean isUp() {
        return up;
    }

    /** Returns true if connections time out while it is down, instead of being refused. */
    boolean isSilent() {
        return silent;
    }

    long incarnation() {
        return incarnation;
    }

    /** Starts the upstream, cold; the first start, with the simulation, is warm. */
    void start() {
        up = true;
        silent = false;
        incarnation++;
        arrivals.clear();
        if (incarnation > 1) {
            coldUntil = simulation.now().plus(ColdStartSimulation.COLD_TIME);
        }
        long own = incarnation;
        long phase = simulation.random.nextInt((int) HEARTBEAT.toMillis());
        write();
        simulation.time.after(Duration.ofMillis(phase), () -> sendHeartbeat(own));
    }

    /** Makes the upstream cold without a start, which it reports with its next heartbeat. */
    void turnCold() {
        coldUntil = simulation.now().plus(ColdStartSimulation.COLD_TIME);
        arrivals.clear();
    }

    /** Crashes the upstream, and starts it again after the given time. */
    void crash(Duration length, boolean silently) {
        if (!up) {
            return;
        }
        up = false;
        silent = silently;
        simulation.expireEntry(this);
        simulation.time.after(length, this::start);
    }

    private void sendHeartbeat(long ofLife) {
        if (up && incarnation == ofLife) {
            write();
            simulation.time.after(HEARTBEAT, () -> sendHeartbeat(ofLife));
        }
    }

    private void write() {
        Duration left = Duration.between(simulation.now(), coldUntil);
        boolean cold = !coldUntil.equals(Instant.MIN) && !left.isNegative();
        simulation.write(
                new UpstreamFacts(
                        UpstreamId.of(id),
                        ++revision,
                        ColdStartSimulation.SERVICE,
                        new Endpoint("10.0.0.1", 80),
                        zone,
                        SLOTS,
                        false,
                        cold ? left : Duration.ZERO,
                        new HeldModels(incarnation, HeldModels.UNKNOWN_SEQUENCE, Map.of()),
                        Set.of(),
                        Set.of()));
    }

    /** Counts an arriving request, and crashes if a cold upstream gets far too many. */
    void requestArrived() {
        if (!simulation.now().isBefore(coldUntil)) {
            return;
        }
        arrivals.add(simulation.now());
        while (!arrivals.peek().isAfter(simulation.now().minus(SECOND))) {
            arrivals.remove();
        }
        if (simulation.recordRate(arrivals.size())) {
            crash(Duration.ofMillis(1_500), false);
        }
    }
}
