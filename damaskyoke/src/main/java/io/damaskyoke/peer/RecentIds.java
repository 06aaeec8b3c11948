package io.damaskyoke.peer;

import io.damaskyoke.peer.wire.ExchangeId;
import io.damaskyoke.peer.wire.Refused;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Remembers which exchanges have been taken here, so that none is handled twice.
 *
 * <p>An invocation that comes a second time was sent before the first one's answer was in, so it is
 * at most one deadline younger. At 100 requests a second, far above what one upstream of rarely
 * used models sees, 32,768 ids reach back more than five minutes, and take some 7 MB. What still
 * runs is never forgotten, since the server keeps that apart.
 */
final class RecentIds {
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

    /** Remembers an ended exchange, with the refusal that was its whole answer, if any. */
    synchronized void ended(ExchangeId id, Optional<Refused> refusal) {
        ended.put(id, refusal);
    }

    /** Empty if the exchange never ended here; else the refusal that was its whole answer. */
    synchronized Optional<Optional<Refused>> find(ExchangeId id) {
        return Optional.ofNullable(ended.get(id));
    }
}
