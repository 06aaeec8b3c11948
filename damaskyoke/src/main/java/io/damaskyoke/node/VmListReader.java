package io.damaskyoke.node;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.platform.VmList;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/** Reads the platform's list of VMs again and again; a failed reading changes nothing. */
final class VmListReader {
    private final ControlThread control;
    private final VmList list;
    private final Supplier<Duration> pause;
    private final Metrics metrics;
    private final List<Listener> listeners = new ArrayList<>();
    private boolean stopped;

    /** Hears of a list, and when it was asked for. */
    @FunctionalInterface
    interface Listener {
        void read(List<VmList.Vm> vms, Instant askedAt);
    }

    /** A reader that waits for {@code pause}, asked each time, between two readings. */
    VmListReader(ControlThread control, VmList list, Supplier<Duration> pause, Metrics metrics) {
        this.control = control;
        this.list = list;
        this.pause = pause;
        this.metrics = metrics;
    }

    /** Hears of each list read, on the control thread. */
    void onRead(Listener listener) {
        listeners.add(listener);
    }

    void read() {
        if (!stopped) {
            Instant askedAt = control.clock().instant();
            list.read()
                    .whenComplete((vms, failure) -> control.run(() -> took(vms, askedAt, failure)));
        }
    }

    void stop() {
        stopped = true;
    }

    private void took(List<VmList.Vm> vms, Instant askedAt, Throwable failure) {
        // The next reading is arranged before the listeners run, as one of them may throw.
        control.after(pause.get(), this::read);
        if (failure == null) {
            listeners.forEach(listener -> listener.read(vms, askedAt));
        } else {
            metrics.count("vm_list_failures");
        }
    }
}
