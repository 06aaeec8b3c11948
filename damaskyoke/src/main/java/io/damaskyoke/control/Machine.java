package io.damaskyoke.control;

import java.time.Instant;
import java.util.List;

/**
 * A decision as a deterministic state machine: typed input and the time in, typed actions out.
 *
 * <p>It does no I/O, reads no clock and holds no lock. The same inputs give the same actions, so a
 * session can be replayed from a list, kept as a golden file, or compared with a naive version.
 * Implementations are not thread-safe; a daemon feeds them from its one control thread.
 *
 * @param <I> the inputs, usually a sealed interface of records
 * @param <A> the actions, usually a sealed interface of records
 */
@FunctionalInterface
public interface Machine<I, A> {
    /** Takes in one input and gives the actions to carry out, in order. */
    List<A> on(I input, Instant now);
}
