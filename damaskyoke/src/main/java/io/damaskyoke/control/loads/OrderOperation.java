package io.damaskyoke.control.loads;

/** What an order tells an upstream to do. */
public enum OrderOperation {
    /** Load the model or adapter. */
    LOAD,
    /** Remove the model or adapter from memory. */
    UNLOAD
}
