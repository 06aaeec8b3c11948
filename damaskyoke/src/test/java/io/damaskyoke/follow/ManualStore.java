package io.damaskyoke.follow;

import io.damaskyoke.platform.OnlyFollowed;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** A store whose answers the test completes: {@code store.polls.get(0).complete(...)}. */
final class ManualStore extends OnlyFollowed {
    final List<CompletableFuture<Changes>> polls = new ArrayList<>();
    final List<CompletableFuture<Listing>> fullReads = new ArrayList<>();
    final List<Runnable> pages = new ArrayList<>();
    final List<Long> polledAfter = new ArrayList<>();
    final List<Duration> waits = new ArrayList<>();

    @Override
    public CompletionStage<Changes> changes(String prefix, long after, Duration wait) {
        polledAfter.add(after);
        waits.add(wait);
        CompletableFuture<Changes> answer = new CompletableFuture<>();
        polls.add(answer);
        return answer;
    }

    @Override
    public CompletionStage<Listing> list(String prefix) {
        return list(prefix, () -> {});
    }

    @Override
    public CompletionStage<Listing> list(String prefix, Runnable onPage) {
        CompletableFuture<Listing> answer = new CompletableFuture<>();
        fullReads.add(answer);
        pages.add(onPage);
        return answer;
    }

    static Entry entry(String key, long revision) {
        return new Entry(key, key.getBytes(StandardCharsets.UTF_8), revision, 1, 0);
    }

    /** Returns an answer with one change at each revision, the last of which is the store's. */
    static Changes set(long... revisions) {
        List<Change> changes =
                Arrays.stream(revisions)
                        .mapToObj(at -> new Change("k", at, Optional.of(entry("k", at))))
                        .toList();
        return new Changes(changes, revisions[revisions.length - 1]);
    }

    static Changes unchanged(long revision) {
        return new Changes(List.of(), revision);
    }
}
