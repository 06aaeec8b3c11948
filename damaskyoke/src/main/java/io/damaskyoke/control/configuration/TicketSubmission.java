package io.damaskyoke.control.configuration;

import io.damaskyoke.control.StateMachine;
import io.damaskyoke.control.configuration.TicketException.Code;
import io.damaskyoke.platform.PlatformException;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * A state machine that appends one ticket to the log or refuses it.
 *
 * <p>A ticket is accepted by creating the next entry of the log if it is absent. So of two
 * concurrent submissions one succeeds, and the other validates its ticket again against the new
 * configuration. After a lost answer the ticket may be at the attempted sequence number, now or
 * later, because the request can still be in flight. Therefore the same sequence number is
 * attempted until it is known to be taken, by this ticket or by another; only then the next one is
 * attempted, so the ticket can never be in the log twice.
 */
public final class TicketSubmission
        implements StateMachine<TicketSubmission.Input, TicketSubmission.Action> {
    /** The most reads and writes of the store before the ticket is refused. */
    static final int MAX_ATTEMPTS = 16;

    private static final Duration FIRST_BACKOFF = Duration.ofMillis(20);
    private static final Duration MAX_BACKOFF = Duration.ofSeconds(1);

    private final ConfigurationFollower follower;
    private final RandomGenerator random;
    private Ticket ticket;
    private int attempts;
    private boolean logJustRead;
    private boolean creating;
    private boolean readFirst;
    private boolean done;
    private long attemptedSequence;
    private long uncertainSequence;

    private TicketSubmission(ConfigurationFollower follower, RandomGenerator random) {
        this.follower = follower;
        this.random = random;
    }

    /** What has happened. */
    public sealed interface Input {
        /** A ticket was submitted. */
        record TicketSubmitted(Ticket ticket) implements Input {}

        /** The log was read from the requested sequence number to its head. */
        record LogRead(List<LogEntry> entries, long head) implements Input {}

        /**
         * The store answered whether it created the entry; if not, another entry has the sequence
         * number.
         */
        record CreateAnswered(boolean created) implements Input {}

        /** The store failed to carry out the last action. */
        record StoreFailed(PlatformException.Code code) implements Input {}

        /** The pause has elapsed. */
        record PauseElapsed() implements Input {}
    }

    /** What is to be done next. */
    public sealed interface Action {
        /** Reads the log from this sequence number to its head. */
        record ReadLog(long from) implements Action {}

        /** Creates the entry if it is absent. */
        record CreateEntry(long sequence, byte[] value) implements Action {}

        /** Waits for this time, then sends {@link Input.PauseElapsed}. */
        record Pause(Duration duration) implements Action {}

        /** Reports that the ticket is in the log. */
        record ReportAccepted(long sequence) implements Action {}

        /** Reports that the ticket is refused, see {@link TicketResult.Refused}. */
        record ReportRefused(Code code, String message, boolean outcomeKnown) implements Action {}
    }

    /**
     * Returns a submission that first validates against the current configuration of the follower.
     * Entries that it reads are applied to the follower.
     */
    public static TicketSubmission validatingFirst(
            ConfigurationFollower follower, RandomGenerator random) {
        return new TicketSubmission(follower, random);
    }

    /**
     * Returns a submission that reads the log before its first write. In an outage that read fails,
     * so the ticket is refused before a write whose unknown outcome all routers would have to wait
     * for.
     */
    public static TicketSubmission readingFirst(
            ConfigurationFollower follower, RandomGenerator random) {
        TicketSubmission submission = new TicketSubmission(follower, random);
        submission.readFirst = true;
        return submission;
    }

    @Override
    public List<Action> on(Input input, Instant now) {
        if (done) {
            return List.of();
        }
        if (input instanceof Input.TicketSubmitted submit) {
            ticket = submit.ticket();
            return readFirst ? readLog() : evaluate();
        }
        if (input instanceof Input.LogRead read) {
            follower.on(
                    new ConfigurationFollower.EntriesReceived(
                            read.entries(), read.head(), Optional.empty()),
                    now);
            logJustRead = true;
            return evaluate();
        }
        if (input instanceof Input.CreateAnswered result) {
            return result.created() ? accepted(attemptedSequence) : sequenceTaken();
        }
        if (input instanceof Input.StoreFailed failed) {
            return storeFailed(failed.code());
        }
        return readLog();
    }

    /** Decides what to do from the follower's current state. */
    private List<Action> evaluate() {
        Optional<TicketHistory.Accepted> own = findOwnEntry();
        if (own.isPresent()) {
            return accepted(own.get().sequence());
        }
        Optional<TicketException> violation = findViolation();
        if (violation.isEmpty()) {
            return createEntry();
        }
        if (!logJustRead) {
            return readLog();
        }
        return refused(violation.get().code(), violation.get().getMessage());
    }

    /** Returns the entry of this ticket, if the follower has received it from any source. */
    private Optional<TicketHistory.Accepted> findOwnEntry() {
        return follower.history()
                .find(ticket.number())
                .filter(known -> known.digest().equals(ticket.digest()));
    }

    private Optional<TicketException> findViolation() {
        if (follower.history().find(ticket.number()).isPresent()) {
            return Optional.of(
                    new TicketException(
                            Code.NUMBER_REUSED,
                            "number "
                                    + ticket.number()
                                    + " was already accepted with other content"));
        }
        if (follower.history().isForgotten(ticket.number())) {
            return Optional.of(
                    new TicketException(
                            Code.OUTDATED,
                            "number "
                                    + ticket.number()
                                    + " is too low: whether it was used before is no longer"
                                    + " known"));
        }
        try {
            TicketValidator.check(follower.current(), ticket);
            return Optional.empty();
        } catch (TicketException e) {
            return Optional.of(e);
        }
    }

    private List<Action> createEntry() {
        if (++attempts > MAX_ATTEMPTS) {
            return refused(
                    Code.BUSY, "too many other tickets were accepted in between; send it again");
        }
        creating = true;
        logJustRead = false;
        attemptedSequence = follower.current().sequence() + 1;
        return List.of(new Action.CreateEntry(attemptedSequence, ticket.toJson()));
    }

    private List<Action> readLog() {
        if (++attempts > MAX_ATTEMPTS) {
            return refused(
                    Code.BUSY, "too many other tickets were accepted in between; send it again");
        }
        creating = false;
        return List.of(new Action.ReadLog(follower.current().sequence() + 1));
    }

    /**
     * Handles that another entry has the sequence number. That entry may be this same ticket,
     * submitted through another router, so the outcome is still uncertain.
     */
    private List<Action> sequenceTaken() {
        uncertainSequence = attemptedSequence;
        return readLog();
    }

    private List<Action> storeFailed(PlatformException.Code code) {
        if (creating && code != PlatformException.Code.UNAVAILABLE) {
            uncertainSequence = attemptedSequence;
        }
        if (attempts >= MAX_ATTEMPTS) {
            return refused(Code.STORE_UNAVAILABLE, "the store can't be reached");
        }
        return List.of(new Action.Pause(backoff()));
    }

    private Duration backoff() {
        long uncappedMillis = FIRST_BACKOFF.toMillis() << Math.min(attempts, 10);
        long cappedMillis = Math.min(uncappedMillis, MAX_BACKOFF.toMillis());
        return Duration.ofMillis(cappedMillis / 2 + random.nextLong(cappedMillis / 2 + 1));
    }

    private List<Action> accepted(long sequence) {
        done = true;
        return List.of(new Action.ReportAccepted(sequence));
    }

    private List<Action> refused(Code code, String message) {
        Optional<TicketHistory.Accepted> own = findOwnEntry();
        if (own.isPresent()) {
            return accepted(own.get().sequence());
        }
        done = true;
        if (uncertainSequence > follower.current().sequence()) {
            return List.of(
                    new Action.ReportRefused(
                            Code.OUTCOME_UNKNOWN,
                            "the ticket may have been accepted; send the same one again",
                            false));
        }
        return List.of(new Action.ReportRefused(code, message, true));
    }
}
