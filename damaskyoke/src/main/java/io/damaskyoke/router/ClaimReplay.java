package io.damaskyoke.router;

import io.damaskyoke.control.claims.ClaimRecord;
import io.damaskyoke.exchange.Answer;
import io.damaskyoke.exchange.Header;
import java.util.ArrayList;
import java.util.List;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;

/** Gives a recorded answer again, and says that it is one. */
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
