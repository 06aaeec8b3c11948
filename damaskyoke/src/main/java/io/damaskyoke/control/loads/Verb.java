package io.damaskyoke.control.loads;

/** What an order asks of an upstream. */
public enum Verb {
    /** Have the model or adapter ready. */
    LOAD,
    /** Take it out of memory. */
    UNLOAD
}
