package io.damaskyoke.control.placement;

import io.damaskyoke.id.ModelName;
import io.damaskyoke.id.VmId;

/**
 * One VM's right to hold one replica of a model. It counts as a replica until it is removed from
 * the table, whatever its marks.
 *
 * @param model which model or adapter
 * @param vm who may hold it
 * @param fencing a number that no other right of the shard had or will have
 * @param releasing the holder is asked to unload and then to remove the right; never taken back
 * @param suspected the VM seems to be gone; anybody who hears from it clears the mark
 */
public record Right(ModelName model, VmId vm, long fencing, boolean releasing, boolean suspected) {
    /** A new right without marks. */
    public static Right granted(ModelName model, VmId vm, long fencing) {
        return new Right(model, vm, fencing, false, false);
    }

    /** True if the holder may load under it. */
    public boolean usable() {
        return !releasing;
    }

    /** The same without suspicion: somebody has heard from the VM. */
    public Right cleared() {
        return suspected(false);
    }

    Right toRelease() {
        return new Right(model, vm, fencing, true, suspected);
    }

    Right suspected(boolean mark) {
        return new Right(model, vm, fencing, releasing, mark);
    }

    boolean isSameAs(Right other) {
        return model.equals(other.model) && vm.equals(other.vm) && fencing == other.fencing;
    }
}
