package io.damaskyoke.direct;

import io.damaskyoke.control.direct.DirectConfiguration;
import io.damaskyoke.control.loads.LoadInput;
import io.damaskyoke.control.loads.OrderOperation;
import io.damaskyoke.control.loads.OrderOutcome;
import io.damaskyoke.control.upstreams.ModelRef;
import io.damaskyoke.control.upstreams.UpstreamFacts;
import io.damaskyoke.control.upstreams.UpstreamId;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

/**
 * Translates between a deployment's names on the wire and in the store and the types of the router.
 * It is the only place that knows these names; it decides nothing and keeps no state.
 */
public interface Dialect {
    /** Returns the prefix of all store keys that operators write. */
    String operatorPrefix();

    /** Returns the store key of the operators' configuration. */
    String configurationKey();

    /**
     * Returns the availability zone that is drained while this store key exists; empty if the key
     * is not one that drains a zone.
     */
    Optional<String> drainedZone(String key);

    /**
     * Checks the value of a store key that drains a zone.
     *
     * @throws DirectException with the code MALFORMED if the value is not valid
     */
    void checkDrain(byte[] value);

    /** Returns the prefix of the store keys of upstreams. */
    String upstreamPrefix();

    /**
     * Parses the operators' configuration.
     *
     * @param revision the store revision of the value
     * @throws DirectException with the code MALFORMED if the value is not valid
     */
    DirectConfiguration configuration(byte[] value, long revision);

    /** Parses the store entry of an upstream; empty if it names no usable upstream. */
    Optional<UpstreamFacts> upstream(String key, byte[] value, long revision);

    /** Parses the headers of a caller's request. */
    CallerRequest request(HttpHeaders headers);

    /** Returns the headers to send to the upstream for a request with these caller headers. */
    HttpHeaders toUpstream(HttpHeaders fromCaller, ForwardingMetadata forwarding);

    /** Returns the attempts that an upstream's answer with these headers names. */
    List<String> answeredAttempts(HttpHeaders fromUpstream);

    /** Parses the status and headers of an upstream's answer to a request. */
    UpstreamAnswer answer(
            int status, HttpHeaders fromUpstream, UpstreamId expected, Instant receivedAt);

    /** Parses what an answer to a request, an order or a report says about its upstream. */
    UpstreamStatements statements(
            int status, HttpHeaders fromUpstream, UpstreamId expected, Instant receivedAt);

    /** Returns the headers to send to the caller for an answer with these upstream headers. */
    HttpHeaders toCaller(HttpHeaders fromUpstream);

    /** Returns the headers of an answer that the router itself gives to this attempt. */
    HttpHeaders localAnswerHeaders(String attempt);

    /** Returns the path of an upstream to which orders are posted. */
    String orderPath();

    /** Returns the body of an order. */
    byte[] orderBody(Order order);

    /** Returns the outcome that the HTTP status of an answer to an order stands for. */
    OrderOutcome outcome(int status);

    /** Returns the headers of a call that only this upstream may answer. */
    HttpHeaders callHeaders(UpstreamId to);

    /** Returns the path of an upstream's load report. */
    String reportPath();

    /**
     * Parses an upstream's load report.
     *
     * @throws DirectException with the code MALFORMED if the body is not valid
     */
    LoadInput.UpstreamReported report(UpstreamId from, byte[] body);

    /**
     * An order of the leader to an upstream to load or unload a model.
     *
     * @param holder the router that holds the leader's lease
     * @param fencing the fencing token, which grows with each change of the holder
     * @param sequence the number of orders that the upstream must have accepted before this one
     */
    record Order(
            OrderOperation operation, ModelRef model, String holder, long fencing, long sequence) {}
}
