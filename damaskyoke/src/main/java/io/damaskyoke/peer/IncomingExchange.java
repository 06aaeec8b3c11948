package io.damaskyoke.peer;

import io.damaskyoke.exchange.Answer;
import io.damaskyoke.exchange.Refusal;
import io.damaskyoke.exchange.Request;
import io.damaskyoke.peer.wire.Load;
import java.util.function.Supplier;

/** A request that came over a link, to be answered once: by {@link #serve} or {@link #refuse}. */
public interface IncomingExchange {
    /** The request, its deadline on this process's clock; its key id and tokens stayed behind. */
    Request request();

    /** The link it came on, and on which the answer goes back. */
    PeerLink link();

    /** The configuration that the sender had in force. */
    long configSequence();

    /** The sender's priority; greater goes first. */
    int priority();

    /**
     * Ends the exchange with a refusal. In the middle of an answer this breaks it off, and is then
     * never passed on as not run. Does nothing if the exchange is over.
     */
    void refuse(Refusal refusal, Load load);

    /**
     * Sends the answer as fast as the other side takes it. A failure of the body breaks the answer
     * off. If the exchange is over already, the body is cancelled.
     *
     * @param load asked at the end
     * @param tokens the upstream's {@code usage.total_tokens}, asked at the end; 0 for none
     */
    void serve(Answer.Served answer, Supplier<Load> load, Supplier<Long> tokens);

    /**
     * Runs this, once, when the other side no longer wants the answer or the link is gone; at once
     * if that is so already. The body need not be cancelled, that is done.
     */
    void onCancel(Runnable action);

    /** True if the other side no longer wants the answer, or the link is gone. */
    boolean cancelled();
}
