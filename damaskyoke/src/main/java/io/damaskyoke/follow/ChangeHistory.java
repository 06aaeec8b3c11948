package io.damaskyoke.follow;

import io.damaskyoke.platform.KeyValueStore.Change;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Optional;

/** The last changes that a follower has heard of, for those that follow it. */
final class ChangeHistory {
    /** Some seconds of the reports of hundreds of upstreams; who lacks more asks the store. */
    private static final int MOST = 4_096;

    private final ArrayDeque<Change> changes = new ArrayDeque<>();
    private long from = Long.MAX_VALUE;

    /** Everything was read as of the revision; what came before is not known one by one. */
    void startAt(long revision) {
        changes.clear();
        from = revision;
    }

    void add(List<Change> news) {
        changes.addAll(news);
        while (changes.size() > MOST) {
            from = changes.removeFirst().revision();
        }
    }

    /** What has changed after the revision; empty if that part is not kept. */
    Optional<List<Change>> after(long revision) {
        if (revision < from) {
            return Optional.empty();
        }
        return Optional.of(
                changes.stream().filter(change -> change.revision() > revision).toList());
    }
}
