package io.damaskyoke.control.crashes;

import io.damaskyoke.control.RecentlyUsed;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;

/**
 * Remembers the outcomes of recent requests: {@code recent.succeeded(digest, sentAt, now)}.
 *
 * <p>Which request is suspect shows at the second crash only. An innocent request that is sent
 * again and again has succeeded in between, and a router that saw the success can then report it.
 */
public final class RecentAnswers {
    private final Map<RequestDigest, Answers> answers;

    /**
     * The outcome of the runs of one request.
     *
     * @param success its last success, if there was one
     * @param borne number of runs since then that neither succeeded nor crashed the upstream
     */
    public record Answers(Optional<Success> success, int borne) {}

    /** A successful run: when it was sent, and when its answer was complete. */
    public record Success(Instant sentAt, Instant answeredAt) {}

    /** Creates a memory of at most this many requests; the least recently seen ones are evicted. */
    public RecentAnswers(int most) {
        this.answers = new RecentlyUsed<>(most);
    }

    /** Records that a run that was sent at {@code sentAt} has succeeded now. */
    public void succeeded(RequestDigest request, Instant sentAt, Instant now) {
        answers.put(request, new Answers(Optional.of(new Success(sentAt, now)), 0));
    }

    /** Records that the upstream survived a run of the request. */
    public void borne(RequestDigest request) {
        Answers known = of(request);
        answers.put(request, new Answers(known.success(), known.borne() + 1));
    }

    /** Returns the known outcome of the request; an unknown request has no success and no runs. */
    public Answers of(RequestDigest request) {
        return answers.getOrDefault(request, new Answers(Optional.empty(), 0));
    }
}
