package io.damaskyoke.peer;

import io.damaskyoke.exchange.Answer;
import io.damaskyoke.exchange.Refusal;
import io.damaskyoke.exchange.Request;
import io.damaskyoke.peer.wire.Load;
import java.util.function.Supplier;

/** A request received over a link, to be answered once, by {@link #serve} or {@link #refuse}. */
public interface IncomingExchange {
    /**
     * Returns the request, with its deadline on this process's clock but without key id and tokens.
     */
    Request request();

    /** Returns the link on which the request came and the answer is sent. */
    PeerLink link();

    /** Returns the sequence number of the configuration that the sender had in force. */
    long configSequence();

    /** Returns the priority given by the sender; greater goes first. */
    int priority();

    /**
     * Ends the exchange with a refusal. In the middle of an answer this aborts the answer, and the
     * refusal is then never sent as "not run". Does nothing if the exchange has ended.
     */
    void refuse(Refusal refusal, Load load);

    /**
     * Sends the answer as fast as the receiver grants credit. A failure of the body aborts the
     * answer. If the exchange has already ended, the body is cancelled.
     *
     * @param load supplies this agent's load when the answer ends
     * @param tokens supplies the upstream's {@code usage.total_tokens} when the answer ends; 0 for
     *     none
     */
    void serve(Answer.Served answer, Supplier<Load> load, Supplier<Long> tokens);

    /**
     * Runs the action once when the sender cancels the exchange or the link closes; at once if that
     * has already happened. The action need not cancel the body, which is cancelled anyway.
     */
    void onCancel(Runnable action);

    /** Returns true if the sender cancelled the exchange or the link closed. */
    boolean cancelled();
}
