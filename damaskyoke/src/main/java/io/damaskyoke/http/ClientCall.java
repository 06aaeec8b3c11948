package io.damaskyoke.http;

/** The handle of a request in progress: {@code client.send(...).cancel()}. */
public interface ClientCall {
    /** Closes the connection at once; the listener receives no further event. */
    void cancel();

    /** Pauses or resumes reading the response, which applies backpressure to the server. */
    void reading(boolean wanted);

    /** Returns where the response came that began last on the request's connection. */
    AnswerPlace place();
}
