package io.damaskyoke.exchange;

import java.util.List;
import org.apache.pekko.NotUsed;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;

/** What a caller gets: the upstream's answer, or a refusal. */
public sealed interface Answer {
    /** The system's own final word. */
    record Refused(Refusal refusal) implements Answer {}

    /**
     * The upstream's answer. The body completes only when the whole answer has come; it fails with
     * an {@link ExchangeException} when the answer was cut, and cancelling it cancels the upstream.
     */
    record Served(int status, List<Header> headers, Source<ByteString, NotUsed> body)
            implements Answer {}
}
