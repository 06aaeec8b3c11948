package io.damaskyoke.direct;

import io.damaskyoke.control.direct.DirectConfiguration;
import io.damaskyoke.control.loads.LoadInput;
import io.damaskyoke.control.loads.OrderOperation;
import io.damaskyoke.control.loads.OrderOutcome;
import io.damaskyoke.control.upstreams.ModelRef;
import io.damaskyoke.control.upstreams.UpstreamFacts;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;

/**
 * How a deployment calls things: the one place where names on the wire and in the store become
 * types. It decides nothing and keeps nothing.
 */
public interface Dialect {
    /** What all of the store's keys that operators set begin with. */
    String operatorPrefix();

    /** The store's key of what operators have set. */
    String configurationKey();

    /**
     * The availability zone that this key drains for as long as it is there; empty if it is a key
     * for something else.
     */
    Optional<String> drainedZone(String key);

    /** Checks what stands under a key that drains; throws a {@link DirectException} MALFORMED. */
    void checkDrain(byte[] value);

    /** What the store's keys of upstreams begin with. */
    String upstreamPrefix();

    /** Reads what operators have set; throws a {@link DirectException} MALFORMED. */
    DirectConfiguration configuration(byte[] value, long revision);

    /** Reads an upstream's entry, or gives nothing if it names no upstream to use. */
    Optional<UpstreamFacts> upstream(String key, byte[] value, long revision);

    /** Reads a caller's headers. */
    CallerRequest request(HttpHeaders headers);

    /** The headers that go to the upstream, of those that came from the caller. */
    HttpHeaders toUpstream(HttpHeaders fromCaller, ForwardingMetadata forwarding);

    /** True if an answer with these headers is one to that try of a caller. */
    boolean answers(String attempt, HttpHeaders fromUpstream);

    /** Reads the head of an upstream's answer. */
    UpstreamAnswer answer(int status, HttpHeaders fromUpstream, UpstreamId expected);

    /** The headers that go to the caller, of those that came from the upstream. */
    HttpHeaders toCaller(HttpHeaders fromUpstream);

    /** The headers of an answer of our own. */
    HttpHeaders ownAnswer(String attempt);

    /** The path that orders go to. */
    String orderPath();

    /** The body of an order. */
    byte[] order(Order order);

    /** What an answer to an order means. */
    OrderOutcome outcome(int status);

    /** The headers of a call to an upstream that is meant for just this one. */
    HttpHeaders callHeaders(UpstreamId to);

    /** The path of an upstream's report. */
    String reportPath();

    /** Reads a report; throws a {@link DirectException} MALFORMED. */
    LoadInput.UpstreamReported report(UpstreamId from, byte[] body);

    /**
     * An order to an upstream.
     *
     * @param holder who gives it
     * @param fencing grows with each change of the holder
     * @param sequence how many orders the upstream must have accepted before
     */
    record Order(OrderOperation verb, ModelRef model, String holder, long fencing, long sequence) {}
}
