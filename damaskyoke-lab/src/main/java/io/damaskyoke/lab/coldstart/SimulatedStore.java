package io.damaskyoke.lab.coldstart;

import io.damaskyoke.control.configuration.Model;
import io.damaskyoke.lab.Deployment;
import java.util.ArrayList;
import java.util.List;

/** The weight store: begins so many loads a second, and shares four loads' speed among more. */
final class SimulatedStore {
    /** Bytes a millisecond for one load at full speed: 2 GiB/s. */
    static final double FULL_SPEED = 2.0 * Workload.GIB / 1_000;

    /** Bytes a millisecond from the VM's own disk. */
    static final double DISK_SPEED = 4.0 * Workload.GIB / 1_000;

    private final double beginsPerMilli;
    private final List<Transfer> running = new ArrayList<>();
    private final List<Transfer> queued = new ArrayList<>();
    private double begins;

    /** One load under way. */
    static final class Transfer {
        final Model model;
        final boolean fromDisk;
        double left;

        Transfer(Model model, boolean fromDisk) {
            this.model = model;
            this.fromDisk = fromDisk;
            this.left = model.memoryBytes();
        }

        boolean done() {
            return left <= 0;
        }
    }

    SimulatedStore(Deployment deployment) {
        this.beginsPerMilli = deployment.loadsPerSecond() / 1_000;
    }

    void begin(Transfer transfer) {
        (transfer.fromDisk ? running : queued).add(transfer);
    }

    void cancel(Transfer transfer) {
        running.remove(transfer);
        queued.remove(transfer);
    }

    void advance(long millis, double speed) {
        begins = Math.min(5, begins + millis * beginsPerMilli);
        while (begins >= 1 && !queued.isEmpty()) {
            begins--;
            running.add(queued.remove(0));
        }
        long large = count(false);
        long small = count(true);
        for (Transfer each : running) {
            each.left -= millis * (each.fromDisk ? DISK_SPEED : speed * rate(each, large, small));
        }
        running.removeIf(Transfer::done);
    }

    private long count(boolean adapters) {
        return running.stream()
                .filter(each -> !each.fromDisk && each.model.base().isPresent() == adapters)
                .count();
    }

    private static double rate(Transfer each, long large, long small) {
        boolean adapter = each.model.base().isPresent();
        double limit = adapter ? Deployment.FULL_SPEED_ADAPTERS : Deployment.FULL_SPEED_LOADS;
        return FULL_SPEED * Math.min(1, limit / (adapter ? small : large));
    }
}
