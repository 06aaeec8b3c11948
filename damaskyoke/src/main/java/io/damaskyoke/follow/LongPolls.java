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
    private List<Poll> polls = new ArrayList<>();

    private record Poll(long after, Instant until, Consumer<Optional<Changes>> callback) {}

    LongPolls(StoreView view, ChangeHistory history) {
        this.view = view;
        this.history = history;
    }

    void add(long after, Instant until, Consumer<Optional<Changes>> callback, Instant now) {
        Poll poll = new Poll(after, until, callback);
        if (!answered(poll, now)) {
            polls.add(poll);
        }
    }

    /** Answers the calls that have changes to receive or whose wait is over. */
    void answerReady(Instant now) {
        List<Poll> all = polls;
        polls = new ArrayList<>();
        for (Poll poll : all) {
            if (!answered(poll, now)) {
                polls.add(poll);
            }
        }
    }

    /** Rejects all calls with an empty answer, which sends their processes to the store. */
    void rejectAll() {
        List<Poll> all = polls;
        polls = new ArrayList<>();
        all.forEach(poll -> poll.callback().accept(Optional.empty()));
    }

    boolean isEmpty() {
        return polls.isEmpty();
    }

    private boolean answered(Poll poll, Instant now) {
        Optional<List<Change>> changes = history.after(poll.after());
        boolean expired = !now.isBefore(poll.until());
        // A process that has a newer revision than this one can't be told that nothing changed.
        boolean ahead = poll.after() > view.revision();
        if (changes.isEmpty() || expired && ahead) {
            poll.callback().accept(Optional.empty());
            return true;
        }
        if (changes.get().isEmpty() && !expired) {
            return false;
        }
        Duration age = view.age(now).orElseThrow();
        poll.callback().accept(Optional.of(new Changes(changes.get(), view.revision(), age)));
        return true;
    }
}
