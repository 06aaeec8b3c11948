package io.damaskyoke.peer;

import io.damaskyoke.peer.wire.ExchangeId;
import io.damaskyoke.peer.wire.Refused;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Remembers recently ended exchanges, so that a duplicate invocation is not handled again.
 *
 * <p>A duplicate invocation was sent before the answer to the first was received, so it is at most
 * one deadline younger. At 100 requests a second, far above the rate of one upstream with rarely
 * used models, 32,768 ids cover more than five minutes and take some 7 MB. Running exchanges are
 * never forgotten, since the server tracks them separately.
 */
final class EndedExchanges {
    static final int CAPACITY = 32_768;

    private final Map<ExchangeId, Optional<Refused>> ended =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(
                        Map.Entry<ExchangeId, Optional<Refused>> eldest) {
                    return size() > CAPACITY;
                }
            };

    /** Records an ended exchange, with the refusal if that was its whole answer. */
    synchronized void ended(ExchangeId id, Optional<Refused> refusal) {
        ended.put(id, refusal);
    }

    /** Returns empty if the exchange is not known to have ended, else its refusal, if any. */
    synchronized Optional<Optional<Refused>> find(ExchangeId id) {
        return Optional.ofNullable(ended.get(id));
    }
}
