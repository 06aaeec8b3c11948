package io.damaskyoke.control.crashes;

import io.damaskyoke.control.LruMap;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;

/**
 * What became of requests of late: {@code recent.succeeded(digest, sentAt, now)}.
 *
 * <p>Which request is under suspicion shows at the second end only. An innocent one that is asked
 * over and over has been answered in between, and whoever saw that can say so.
 */
public final class RecentAnswers {
    private final Map<RequestDigest, Answers> answers;

    /**
     * What became of one request.
     *
     * @param success its last success, if there was one
     * @param borne how often an upstream has taken it since without a success, and did not end
     */
    public record Answers(Optional<Success> success, int borne) {}

    /** A success: when the run was sent, and when the answer was whole. */
    public record Success(Instant sentAt, Instant answeredAt) {}

    /** Remembers so many requests; those seen longest ago go. */
    public RecentAnswers(int most) {
        this.answers = new LruMap<>(most);
    }

    /** A run that was sent then has succeeded now. */
    public void succeeded(RequestDigest request, Instant sentAt, Instant now) {
        answers.put(request, new Answers(Optional.of(new Success(sentAt, now)), 0));
    }

    /** An upstream took it and did not end. */
    public void borne(RequestDigest request) {
        Answers known = of(request);
        answers.put(request, new Answers(known.success(), known.borne() + 1));
    }

    /** What is known of the request. */
    public Answers of(RequestDigest request) {
        return answers.getOrDefault(request, new Answers(Optional.empty(), 0));
    }
}
