package io.damaskyoke.control.notices;

import java.time.Duration;
import java.time.Instant;

/**
 * Knows whether an upstream has said in an answer that it leaves: {@code notice.isLeaving()}.
 *
 * <p>Nothing that an incarnation says or lists later takes it back. Only a new incarnation under
 * the same name takes requests again.
 */
public final class DepartureNotice {
    /** How long the notice of an upstream that is no longer listed is kept: it may come back. */
    private static final Duration KEPT_UNLISTED = Duration.ofHours(1);

    private StatementOrigin origin = new StatementOrigin();
    private Instant statedAt = Instant.MIN;
    private boolean leaving;

    /**
     * Records that an answer said that its upstream leaves.
     *
     * @param startedAt start of the upstream's incarnation, in Unix milliseconds
     * @return true if it had not said so before
     */
    public boolean departureStated(long startedAt, Instant now) {
        boolean isNew = !leaving;
        leaving = true;
        statedAt = now;
        origin.stated(startedAt, now);
        return isNew;
    }

    /** Takes the incarnation that the list states; a new one has not said that it leaves. */
    public void incarnationListed(long startedAt, Instant now) {
        if (leaving && origin.isOutdatedBy(startedAt, now)) {
            origin = new StatementOrigin();
            leaving = false;
        }
    }

    /** Returns true if the listed incarnation has said that it leaves. */
    public boolean isLeaving() {
        return leaving;
    }

    /** Returns true if the notice would still count should its upstream be listed again. */
    public boolean isKeptUnlisted(Instant now) {
        return leaving && now.isBefore(statedAt.plus(KEPT_UNLISTED));
    }
}
