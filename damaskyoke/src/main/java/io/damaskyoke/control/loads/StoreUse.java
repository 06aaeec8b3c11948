package io.damaskyoke.control.loads;

/**
 * How much of the weight store is in use.
 *
 * @param running loads under way, as far as is known
 * @param atFullSpeed how many run at once without slowing each other down, as far as is known
 */
public record StoreUse(int running, int atFullSpeed) {}
