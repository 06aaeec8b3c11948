package io.damaskyoke.control.placement;

import io.damaskyoke.id.ModelName;
import io.damaskyoke.id.VmId;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToIntFunction;

/**
 * Which new value of a shard may be proposed for the one that was read.
 *
 * <p>Every writer passes through here just before its compare and swap. A mistake in a planner, or
 * a planner of an older release, then shows as a refused proposal and not as a second copy of a
 * model on an engine that has no room for it. The compare and swap itself makes it enough: what is
 * checked is what is replaced.
 */
public final class Transition {
    private Transition() {}

    /**
     * What is wrong with a planner's proposal; empty if it may be written.
     *
     * @param maxReplicas how many rights of a model there may be, 0 if it is not configured
     */
    public static Optional<String> ofPlanner(
            Shard read, Shard proposed, ToIntFunction<ModelName> maxReplicas) {
        for (Right before : read.rights()) {
            Optional<Right> after = find(proposed, before);
            if (after.isEmpty() && !before.suspected()) {
                return Optional.of("removes a right that its holder has not released: " + before);
            }
            if (after.isPresent() && before.releasing() && !after.get().releasing()) {
                return Optional.of("takes a release back: " + before);
            }
        }
        return grants(read, proposed, maxReplicas);
    }

    /** What is wrong with a holder's proposal, which may only concern its own rights. */
    public static Optional<String> ofHolder(Shard read, Shard proposed, VmId holder) {
        for (Right before : read.rights()) {
            Optional<Right> after = find(proposed, before);
            boolean own = before.vm().equals(holder);
            if (after.isEmpty() && !(own && before.releasing())) {
                return Optional.of("removes a right that is not being released: " + before);
            }
            if (after.isPresent() && before.releasing() != after.get().releasing()) {
                return Optional.of("only a planner asks for a release: " + before);
            }
        }
        return grants(read, proposed, model -> 0);
    }

    private static Optional<String> grants(
            Shard read, Shard proposed, ToIntFunction<ModelName> maxReplicas) {
        if (proposed.lastFencing() < read.lastFencing()) {
            return Optional.of("sets the fencing number back");
        }
        Set<Long> numbers = new HashSet<>();
        for (Right right : proposed.rights()) {
            boolean isNew = find(read, right).isEmpty();
            if (isNew && !isFresh(right, read, proposed, numbers)) {
                return Optional.of("a new right needs a new fencing number: " + right);
            }
            if (isNew && count(proposed, right.model()) > maxReplicas.applyAsInt(right.model())) {
                return Optional.of("more rights than were decided: " + right.model());
            }
            if (isNew && isTwice(proposed, right)) {
                return Optional.of("two rights to one model on one VM: " + right);
            }
        }
        return Optional.empty();
    }

    private static boolean isFresh(Right right, Shard read, Shard proposed, Set<Long> numbers) {
        return right.fencing() > read.lastFencing()
                && right.fencing() <= proposed.lastFencing()
                && numbers.add(right.fencing());
    }

    private static boolean isTwice(Shard shard, Right right) {
        return rights(shard, right.model()).stream()
                        .filter(other -> other.vm().equals(right.vm()))
                        .count()
                > 1;
    }

    private static int count(Shard shard, ModelName model) {
        return rights(shard, model).size();
    }

    private static List<Right> rights(Shard shard, ModelName model) {
        return shard.rights().stream().filter(right -> right.model().equals(model)).toList();
    }

    private static Optional<Right> find(Shard shard, Right right) {
        return shard.rights().stream().filter(right::isSameAs).findFirst();
    }
}
