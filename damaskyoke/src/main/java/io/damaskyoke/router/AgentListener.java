package io.damaskyoke.router;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.control.routing.Fleet;
import io.damaskyoke.id.VmId;
import io.damaskyoke.peer.PeerLink;
import io.damaskyoke.peer.PeerListener;
import io.damaskyoke.peer.Role;
import io.damaskyoke.peer.wire.Frame;
import io.damaskyoke.peer.wire.Hello;

/** Receives the load and drain notices that agents send and applies them to the {@link Fleet}. */
final class AgentListener implements PeerListener {
    private final ControlThread control;
    private final Fleet fleet;

    AgentListener(ControlThread control, Fleet fleet) {
        this.control = control;
        this.fleet = fleet;
    }

    @Override
    public void received(PeerLink link, Frame frame) {
        link.remote()
                .filter(hello -> hello.getRole().equals(Role.AGENT.wireName()))
                .map(Hello::getVm)
                .map(VmId::of)
                .ifPresent(vm -> handle(vm, frame));
    }

    private void handle(VmId vm, Frame frame) {
        if (frame.hasDraining()) {
            control.run(() -> fleet.markDraining(vm));
        } else if (frame.hasHeartbeat()) {
            control.run(() -> applyHeartbeat(vm, frame));
        }
    }

    private void applyHeartbeat(VmId vm, Frame frame) {
        if (frame.getHeartbeat().hasLoad()) {
            fleet.updateLoad(vm, AgentLoadParser.fromWire(frame.getHeartbeat().getLoad()));
        }
        if (frame.getHeartbeat().getDraining()) {
            fleet.markDraining(vm);
        }
    }
}
