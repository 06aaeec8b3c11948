package io.damaskyoke.exchange;

import java.util.List;
import org.apache.pekko.NotUsed;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;

/** The answer to a caller: the upstream's answer, or a refusal. */
public sealed interface Answer {
    /** A refusal by the system itself. */
    record Refused(Refusal refusal) implements Answer {}

    /**
     * The upstream's answer. The body completes only when the whole answer was received; it fails
     * with an {@link ExchangeException} when the answer was cut, and cancelling it cancels the
     * upstream.
     */
    record Served(int status, List<Header> headers, Source<ByteString, NotUsed> body)
            implements Answer {}
}
