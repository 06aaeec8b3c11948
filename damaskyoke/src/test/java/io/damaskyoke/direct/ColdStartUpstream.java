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

    private final ColdStartSimulation world;
    private final String id;
    private final String zone;
    private final ArrayDeque<Instant> came = new ArrayDeque<>();
    private boolean up;
    private boolean dark;
    private long life;
    private long revision;
    private Instant coldUntil = Instant.MIN;

    ColdStartUpstream(ColdStartSimulation world, String id, String zone) {
        this.world = world;
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
        return dark;
    }

    long incarnation() {
        return life;
    }

    /** Starts the upstream, cold; the first start, with the simulation, is warm. */
    void start() {
        up = true;
        dark = false;
        life++;
        came.clear();
        if (life > 1) {
            coldUntil = world.now().plus(ColdStartSimulation.COLD_TIME);
        }
        long own = life;
        long phase = world.random.nextInt((int) HEARTBEAT.toMillis());
        write();
        world.time.after(Duration.ofMillis(phase), () -> beat(own));
    }

    /** Makes the upstream cold without a start, which it reports with its next heartbeat. */
    void turnCold() {
        coldUntil = world.now().plus(ColdStartSimulation.COLD_TIME);
        came.clear();
    }

    /** Crashes the upstream, and starts it again after the given time. */
    void crash(Duration length, boolean silently) {
        if (!up) {
            return;
        }
        up = false;
        dark = silently;
        world.expireEntry(this);
        world.time.after(length, this::start);
    }

    private void beat(long ofLife) {
        if (up && life == ofLife) {
            write();
            world.time.after(HEARTBEAT, () -> beat(ofLife));
        }
    }

    private void write() {
        Duration left = Duration.between(world.now(), coldUntil);
        boolean cold = !coldUntil.equals(Instant.MIN) && !left.isNegative();
        world.write(
                new UpstreamFacts(
                        UpstreamId.of(id),
                        ++revision,
                        ColdStartSimulation.SERVICE,
                        new Endpoint("10.0.0.1", 80),
                        zone,
                        SLOTS,
                        false,
                        cold ? left : Duration.ZERO,
                        new HeldModels(life, HeldModels.UNKNOWN_SEQUENCE, Map.of()),
                        Set.of(),
                        Set.of()));
    }

    /** Counts an arriving request, and crashes if a cold upstream gets far too many. */
    void requestArrived() {
        if (!world.now().isBefore(coldUntil)) {
            return;
        }
        came.add(world.now());
        while (!came.peek().isAfter(world.now().minus(SECOND))) {
            came.remove();
        }
        if (world.recordRate(came.size())) {
            crash(Duration.ofMillis(1_500), false);
        }
    }
}
