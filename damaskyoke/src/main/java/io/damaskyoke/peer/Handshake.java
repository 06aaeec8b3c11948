package io.damaskyoke.peer;

import io.damaskyoke.id.AvailabilityZone;
import io.damaskyoke.id.Incarnation;
import io.damaskyoke.id.VmId;
import io.damaskyoke.peer.wire.Frame;
import io.damaskyoke.peer.wire.Hello;
import java.util.Arrays;
import java.util.Optional;

/** Checks the first frame of a connection, which must be the hello frame of a valid peer. */
final class Handshake {
    static final int VERSION = 1;

    private Handshake() {}

    /** Returns why the connection has to be closed; empty if the peer is accepted. */
    static Optional<Rejection> check(Frame first, Optional<VmId> expected) {
        if (!first.hasHello()) {
            return Optional.of(Rejection.NOT_HELLO);
        }
        Hello hello = first.getHello();
        if (hello.getVersion() != VERSION) {
            return Optional.of(Rejection.VERSION);
        }
        if (!wellFormed(hello)) {
            return Optional.of(Rejection.BAD_HELLO);
        }
        return expected.filter(vm -> !vm.value().equals(hello.getVm()))
                .map(vm -> Rejection.WRONG_VM);
    }

    private static boolean wellFormed(Hello hello) {
        try {
            VmId.of(hello.getVm());
            Incarnation.of(hello.getIncarnation());
            AvailabilityZone.of(hello.getAvailabilityZone());
        } catch (IllegalArgumentException e) {
            return false;
        }
        return Arrays.stream(Role.values())
                .anyMatch(role -> role.wireName().equals(hello.getRole()));
    }
}
