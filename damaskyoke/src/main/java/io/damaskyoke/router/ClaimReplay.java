package io.damaskyoke.router;

import io.damaskyoke.control.claims.ClaimRecord;
import io.damaskyoke.exchange.Answer;
import io.damaskyoke.exchange.Header;
import java.util.ArrayList;
import java.util.List;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;

/** Builds the answer that replays a recorded one, marked by the header Idempotent-Replayed. */
final class ClaimReplay {
    private static final Header REPLAYED = new Header("Idempotent-Replayed", "true");

    private ClaimReplay() {}

    static Answer of(ClaimRecord settled) {
        ClaimRecord.Outcome outcome = settled.outcome().orElseThrow();
        List<Header> headers = new ArrayList<>(outcome.headers());
        headers.add(REPLAYED);
        byte[] body = outcome.body().orElseThrow();
        return new Answer.Served(
                outcome.status(), headers, Source.single(ByteString.fromArray(body)));
    }
}
