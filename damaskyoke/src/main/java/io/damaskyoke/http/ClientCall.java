package io.damaskyoke.http;

/** A request under way, to be called off or held up: {@code client.send(...).cancel()}. */
public interface ClientCall {
    /** Closes the connection at once; the listener hears nothing more. */
    void cancel();

    /** Stops or resumes reading the answer, so that a slow reader holds up the sender. */
    void reading(boolean wanted);
}
