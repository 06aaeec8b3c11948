package io.damaskyoke.follow;

import io.damaskyoke.platform.KeyValueStore.Change;
import io.damaskyoke.platform.PolledStore.Changes;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Long-polling calls of other processes that wait here for changes, as they would at the store.
 * Each is answered once: with changes as soon as there are any, with none at the end of its wait,
 * or with an empty answer if this process's own view or history does not suffice.
 */
final class LongPolls {
    private final StoreView view;
    private final ChangeHistory history;
    private List<Ask> asks = new ArrayList<>();

    private record Ask(long after, Instant until, Consumer<Optional<Changes>> told) {}

    LongPolls(StoreView view, ChangeHistory history) {
        this.view = view;
        this.history = history;
    }

    void add(long after, Instant until, Consumer<Optional<Changes>> told, Instant now) {
        Ask ask = new Ask(after, until, told);
        if (!answered(ask, now)) {
            asks.add(ask);
        }
    }

    /** Answers the calls that have changes to receive or whose wait is over. */
    void answerReady(Instant now) {
        List<Ask> all = asks;
        asks = new ArrayList<>();
        for (Ask ask : all) {
            if (!answered(ask, now)) {
                asks.add(ask);
            }
        }
    }

    /** Rejects all calls with an empty answer, which sends their processes to the store. */
    void rejectAll() {
        List<Ask> all = asks;
        asks = new ArrayList<>();
        all.forEach(ask -> ask.told().accept(Optional.empty()));
    }

    boolean isEmpty() {
        return asks.isEmpty();
    }

    private boolean answered(Ask ask, Instant now) {
        Optional<List<Change>> changes = history.after(ask.after());
        boolean ended = !now.isBefore(ask.until());
        // A process that has a newer revision than this one can't be told that nothing changed.
        boolean ahead = ask.after() > view.revision();
        if (changes.isEmpty() || ended && ahead) {
            ask.told().accept(Optional.empty());
            return true;
        }
        if (changes.get().isEmpty() && !ended) {
            return false;
        }
        Duration age = view.age(now).orElseThrow();
        ask.told().accept(Optional.of(new Changes(changes.get(), view.revision(), age)));
        return true;
    }
}
