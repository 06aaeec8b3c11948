package io.damaskyoke.lab;

import io.damaskyoke.control.relay.RelayAction;
import io.damaskyoke.control.relay.RelayInput;
import io.damaskyoke.control.relay.RelayMachine;
import io.damaskyoke.control.relay.RelaySettings;
import io.damaskyoke.id.AvailabilityZone;
import io.damaskyoke.id.VmId;
import io.damaskyoke.platform.VmList;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * The spread of a configuration over many processes, each with its real {@link RelayMachine}, over
 * a store and links with delays, on a clock of its own. Processes can be frozen and the store can
 * be out; what comes in meanwhile waits, as it does in a socket's buffer.
 */
public final class SpreadWorld {
    /** Bytes that a frame takes beside its payload: IP and TCP headers and our length. */
    public static final int FRAME_BYTES = 44;

    /** Payload of a probe, of its answer, of a heartbeat, and of a log entry. */
    public static final int PROBE_BYTES = 14;

    public static final int ANSWER_BYTES = 18;
    public static final int HEARTBEAT_BYTES = 24;
    public static final int ENTRY_BYTES = 300;

    private static final Instant START = Instant.parse("2026-12-01T00:00:00Z");
    private static final Duration TICK = Duration.ofMillis(250);
    private static final Duration REMEMBERED = Duration.ofSeconds(30);
    private static final int CONFIRM_MILLIS = 2_000;

    private final SplittableRandom random;
    private final PriorityQueue<Due> queue =
            new PriorityQueue<>(Comparator.comparing(Due::at).thenComparingLong(Due::number));
    private final List<Process> processes = new ArrayList<>();
    private final Map<VmId, Process> byVm = new HashMap<>();
    private final List<Instant> accepted = new ArrayList<>();
    private Instant now = START;
    private long number;
    private boolean storeOut;
    private long storeCalls;

    private record Due(Instant at, long number, Runnable step) {}

    /** One process, and what it has in force. */
    public final class Process {
        private final VmList.Vm vm;
        private final RelayMachine machine;
        private final Map<Process, Instant> subscribers = new LinkedHashMap<>();
        private final List<Runnable> held = new ArrayList<>();
        private List<VmList.Vm> parents = List.of();
        private boolean frozen;
        private boolean freezesAsking;
        private boolean watching;
        private long sequence;
        private Instant reachedAt = START;
        private Optional<Instant> confirmed = Optional.empty();
        private long bytes;

        private Process(VmList.Vm vm, RelayMachine machine) {
            this.vm = vm;
            this.machine = machine;
        }

        /** The last entry in force. */
        public long sequence() {
            return sequence;
        }

        /** Bytes sent and received, without heartbeats. */
        public long bytes() {
            return bytes;
        }

        /** Links kept up. */
        public int links() {
            return parents.size() + subscribers.size();
        }

        /** When the process came to its present sequence. */
        public Instant reachedAt() {
            return reachedAt;
        }

        /** What the process holds for the moment up to which it knows all that was accepted. */
        public Optional<Instant> confirmed() {
            return confirmed;
        }

        private void run(Runnable step) {
            if (frozen) {
                held.add(step);
            } else {
                step.run();
            }
        }

        private void feed(RelayInput input) {
            machine.on(input, now).forEach(this::carryOut);
        }

        private void tick() {
            confirmed.ifPresent(at -> feed(new RelayInput.StoreConfirmed(at)));
            feed(new RelayInput.Tick());
            subscribers.values().removeIf(at -> at.isBefore(now.minus(REMEMBERED)));
        }

        private void carryOut(RelayAction action) {
            if (action instanceof RelayAction.WatchStore watch) {
                watching = watch.on();
                poll();
            } else if (action instanceof RelayAction.FollowRelays follow) {
                parents = follow.relays();
            } else if (action instanceof RelayAction.ProbePeer probe) {
                long from = sequence + 1;
                send(
                        byVm.get(probe.peer().id()),
                        PROBE_BYTES,
                        peer -> peer.answer(this, probe.number(), from));
                frozen |= freezesAsking;
            } else if (action instanceof RelayAction.ReadStore) {
                read();
            } else if (action instanceof RelayAction.Confirm confirm) {
                confirm(confirm.head(), confirm.asOf());
            }
        }

        private void answer(Process asker, long probe, long from) {
            subscribers.put(asker, now);
            long head = sequence;
            Optional<Duration> age = confirmed.map(at -> Duration.between(at, now));
            int payload = ANSWER_BYTES + (int) Math.max(0, head + 1 - from) * ENTRY_BYTES;
            send(
                    asker,
                    payload,
                    peer -> {
                        peer.reach(head);
                        peer.feed(new RelayInput.ProbeAnswered(vm.id(), probe, head, age));
                    });
        }

        private void send(Process to, int payload, Consumer<Process> step) {
            int size = payload + FRAME_BYTES;
            bytes += size;
            to.bytes += size;
            after(delay(200, 3_000), () -> to.run(() -> step.accept(to)));
        }

        private void reach(long head) {
            if (head <= sequence) {
                return;
            }
            sequence = head;
            reachedAt = now;
            for (Process subscriber : List.copyOf(subscribers.keySet())) {
                send(subscriber, ANSWER_BYTES + ENTRY_BYTES, peer -> peer.reach(head));
            }
        }

        private void confirm(long head, Instant asOf) {
            if (sequence >= head && confirmed.filter(at -> !at.isBefore(asOf)).isEmpty()) {
                confirmed = Optional.of(asOf);
            }
        }

        private void poll() {
            if (watching) {
                read();
                int pause = CONFIRM_MILLIS / 2 + random.nextInt(CONFIRM_MILLIS / 2);
                after(Duration.ofMillis(pause), () -> run(this::poll));
            }
        }

        private void read() {
            storeCalls++;
            if (storeOut) {
                return;
            }
            Instant begun = now;
            after(
                    delay(500, 2_000),
                    () -> {
                        long head = accepted.size();
                        after(
                                delay(500, 2_000),
                                () ->
                                        run(
                                                () -> {
                                                    reach(head);
                                                    confirm(head, begun);
                                                }));
                    });
        }
    }

    /** A world of processes spread evenly over the zones; a tenth and at least one are routers. */
    public SpreadWorld(int count, int zones, long seed) {
        random = new SplittableRandom(seed);
        List<VmList.Vm> list = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            boolean router = i / zones % 7 == 0;
            list.add(
                    new VmList.Vm(
                            VmId.of("vm-" + i),
                            router ? VmList.Role.ROUTER : VmList.Role.AGENT,
                            AvailabilityZone.of("zone-" + i % zones),
                            "10.0.0.1",
                            7400,
                            8081,
                            VmList.State.LIVE));
        }
        for (VmList.Vm vm : list) {
            Process process =
                    new Process(
                            vm,
                            RelayMachine.of(
                                    vm.id(), vm.zone(), RelaySettings.defaults(), random.split()));
            processes.add(process);
            byVm.put(vm.id(), process);
            after(delay(0, 1_000_000), () -> begin(process, list));
        }
    }

    /** Lets the clock run on. */
    public SpreadWorld advance(Duration duration) {
        Instant end = now.plus(duration);
        while (!queue.isEmpty() && !queue.peek().at().isAfter(end)) {
            Due due = queue.remove();
            now = due.at();
            due.step().run();
        }
        now = end;
        return this;
    }

    /** A ticket is accepted; the watches hear of it, unless the store is out by then. */
    public void accept() {
        accepted.add(now);
        long head = accepted.size();
        for (Process process : processes) {
            if (process.watching && !storeOut) {
                after(delay(500, 3_000), () -> process.run(() -> process.reach(head)));
            }
        }
    }

    /** The store answers nobody, or answers again; watches end, and begin with the next reading. */
    public void storeOut(boolean value) {
        storeOut = value;
    }

    /** Stops a process as SIGSTOP does. */
    public void freeze(Process process) {
        process.frozen = true;
    }

    /** Stops a process as soon as it has asked another and before the answer comes. */
    public void freezeAsking(Process process) {
        process.freezesAsking = true;
    }

    /** Lets it go on, with all that has come in meanwhile. */
    public void thaw(Process process) {
        process.frozen = false;
        process.freezesAsking = false;
        List<Runnable> held = List.copyOf(process.held);
        process.held.clear();
        held.forEach(Runnable::run);
    }

    /** All processes. */
    public List<Process> processes() {
        return List.copyOf(processes);
    }

    /** The processes that read the store. */
    public List<Process> relays() {
        return processes.stream().filter(process -> process.watching).toList();
    }

    /** The present time. */
    public Instant now() {
        return now;
    }

    /** Reads of the store so far. */
    public long storeCalls() {
        return storeCalls;
    }

    /** Entries accepted so far. */
    public long head() {
        return accepted.size();
    }

    /** How many entries had been accepted by then. */
    public long acceptedBy(Instant then) {
        return accepted.stream().filter(at -> at.isBefore(then)).count();
    }

    private void begin(Process process, List<VmList.Vm> list) {
        process.read();
        process.feed(new RelayInput.VmsListed(list));
        tick(process);
    }

    private void tick(Process process) {
        process.run(process::tick);
        after(TICK, () -> tickUnlessFrozen(process));
    }

    private void tickUnlessFrozen(Process process) {
        if (process.frozen) {
            after(TICK, () -> tickUnlessFrozen(process));
        } else {
            tick(process);
        }
    }

    private void after(Duration delay, Runnable step) {
        queue.add(new Due(now.plus(delay), ++number, step));
    }

    private Duration delay(int leastMicros, int mostMicros) {
        return Duration.ofNanos(1_000L * (leastMicros + random.nextInt(mostMicros - leastMicros)));
    }
}
