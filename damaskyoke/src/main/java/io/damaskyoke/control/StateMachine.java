package io.damaskyoke.control;

import java.time.Instant;
import java.util.List;

/**
 * A deterministic state machine that turns an input and the current time into a list of actions.
 *
 * <p>It does no I/O, reads no clock and takes no lock. The same sequence of inputs always gives the
 * same actions, so a session can be replayed, compared with an approved file, or checked against a
 * simpler implementation. Implementations are not thread-safe; a process feeds them from its
 * control thread.
 *
 * @param <I> the type of the inputs, usually a sealed interface of records
 * @param <A> the type of the actions, usually a sealed interface of records
 */
@FunctionalInterface
public interface StateMachine<I, A> {
    /** Processes one input and returns the actions to carry out, in order. */
    List<A> on(I input, Instant now);
}
