package io.damaskyoke.control.placement;

import io.damaskyoke.id.ModelName;
import io.damaskyoke.id.VmId;

/**
 * Allows one VM to hold one replica of a model. It counts as a replica until it is removed from the
 * table, whatever its marks.
 *
 * @param model the model or adapter
 * @param vm the VM that may hold it
 * @param fencing the fencing token, which no other grant of the shard ever has
 * @param releasing true if the holder is asked to unload the model and then to remove the grant;
 *     never reset
 * @param suspected true if the VM seems to be gone; any process that receives a message from it
 *     clears the mark
 */
public record ReplicaGrant(
        ModelName model, VmId vm, long fencing, boolean releasing, boolean suspected) {
    /** Returns a new grant without marks. */
    public static ReplicaGrant of(ModelName model, VmId vm, long fencing) {
        return new ReplicaGrant(model, vm, fencing, false, false);
    }

    /** Returns true if the holder may load the model under this grant. */
    public boolean usable() {
        return !releasing;
    }

    /** Returns a copy that is not marked suspected, for use when the VM has been heard from. */
    public ReplicaGrant withoutSuspicion() {
        return withSuspected(false);
    }

    ReplicaGrant withReleasing() {
        return new ReplicaGrant(model, vm, fencing, true, suspected);
    }

    ReplicaGrant withSuspected(boolean value) {
        return new ReplicaGrant(model, vm, fencing, releasing, value);
    }

    boolean isSameGrant(ReplicaGrant other) {
        return model.equals(other.model) && vm.equals(other.vm) && fencing == other.fencing;
    }
}
