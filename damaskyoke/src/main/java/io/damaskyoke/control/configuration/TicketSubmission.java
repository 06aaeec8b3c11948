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
 * Brings one ticket into the log, or refuses it.
 *
 * <p>A ticket is accepted by creating the next entry of the log if it is absent, so of two racing
 * operators one wins, and the loser judges its ticket anew against what the winner left. After a
 * lost answer the ticket may stand at the tried place, now or later: a request can still be on its
 * way. Therefore the same place is tried again until it is known to be taken, by this ticket or by
 * another; only then is a next place tried, and the ticket can never stand in the log twice.
 */
public final class TicketSubmission
        implements StateMachine<TicketSubmission.Input, TicketSubmission.Action> {
    /** How often the store is asked before the ticket is refused. */
    static final int MAX_TRIES = 16;

    private static final Duration FIRST_PAUSE = Duration.ofMillis(20);
    private static final Duration LONGEST_PAUSE = Duration.ofSeconds(1);

    private final ConfigurationFollower follower;
    private final RandomGenerator random;
    private Ticket ticket;
    private int tries;
    private boolean freshlyRead;
    private boolean creating;
    private boolean readFirst;
    private boolean done;
    private long place;
    private long uncertainPlace;

    private TicketSubmission(ConfigurationFollower follower, RandomGenerator random) {
        this.follower = follower;
        this.random = random;
    }

    /** What the machine hears. */
    public sealed interface Input {
        /** Begins, with the ticket. */
        record Submit(Ticket ticket) implements Input {}

        /** The log's entries from the place asked for to its head. */
        record LogRead(List<LogEntry> entries, long head) implements Input {}

        /** Whether the entry was created; if not, another stands there. */
        record CommitResult(boolean created) implements Input {}

        /** The store didn't do the last action. */
        record StoreFailed(PlatformException.Code code) implements Input {}

        /** The pause is over. */
        record Tick() implements Input {}
    }

    /** What is to be done next. */
    public sealed interface Action {
        /** Reads the log from this place to its head. */
        record ReadLog(long from) implements Action {}

        /** Creates this entry if it is absent. */
        record Create(long sequence, byte[] value) implements Action {}

        /** Waits, then sends a tick. */
        record Pause(Duration duration) implements Action {}

        /** The ticket is in the log. */
        record Accepted(long sequence) implements Action {}

        /** The ticket is refused; see {@link TicketResult.Refused}. */
        record Refused(Code code, String message, boolean outcomeKnown) implements Action {}
    }

    /** A submission on top of what the follower knows; what it reads goes to the follower too. */
    public static TicketSubmission on(ConfigurationFollower follower, RandomGenerator random) {
        return new TicketSubmission(follower, random);
    }

    /**
     * The same, which reads the log before it writes. In an outage that read fails, and so the
     * ticket is refused with nothing written whose outcome all routers would have to wait for.
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
        if (input instanceof Input.Submit submit) {
            ticket = submit.ticket();
            return readFirst ? read() : judge();
        }
        if (input instanceof Input.LogRead read) {
            follower.on(
                    new ConfigurationFollower.Offer(read.entries(), read.head(), Optional.empty()),
                    now);
            freshlyRead = true;
            return judge();
        }
        if (input instanceof Input.CommitResult result) {
            return result.created() ? accepted(place) : lost();
        }
        if (input instanceof Input.StoreFailed failed) {
            return storeFailed(failed.code());
        }
        return read();
    }

    /** Decides on the follower's present state. */
    private List<Action> judge() {
        Optional<TicketHistory.Accepted> own = own();
        if (own.isPresent()) {
            return accepted(own.get().sequence());
        }
        Optional<TicketException> complaint = complaint();
        if (complaint.isEmpty()) {
            return create();
        }
        if (!freshlyRead) {
            return read();
        }
        return refused(complaint.get().code(), complaint.get().getMessage());
    }

    /** This very ticket, if the follower has met it in the log, perhaps by a watch or a peer. */
    private Optional<TicketHistory.Accepted> own() {
        return follower.history()
                .find(ticket.number())
                .filter(known -> known.digest().equals(ticket.digest()));
    }

    private Optional<TicketException> complaint() {
        if (follower.history().find(ticket.number()).isPresent()) {
            return Optional.of(
                    new TicketException(
                            Code.NUMBER_REUSED,
                            "number " + ticket.number() + " was accepted with other content"));
        }
        if (follower.history().forgotten(ticket.number())) {
            return Optional.of(
                    new TicketException(
                            Code.OUTDATED,
                            "number "
                                    + ticket.number()
                                    + " is too old to be told from a used one"));
        }
        try {
            ConfigurationRules.check(follower.current(), ticket);
            return Optional.empty();
        } catch (TicketException e) {
            return Optional.of(e);
        }
    }

    private List<Action> create() {
        if (++tries > MAX_TRIES) {
            return refused(Code.BUSY, "too many other tickets came in between; send it again");
        }
        creating = true;
        freshlyRead = false;
        place = follower.current().sequence() + 1;
        return List.of(new Action.Create(place, ticket.toJson()));
    }

    private List<Action> read() {
        if (++tries > MAX_TRIES) {
            return refused(Code.BUSY, "too many other tickets came in between; send it again");
        }
        creating = false;
        return List.of(new Action.ReadLog(follower.current().sequence() + 1));
    }

    /**
     * Whoever won may have brought in this very ticket, by another router; so nothing is sure yet.
     */
    private List<Action> lost() {
        uncertainPlace = place;
        return read();
    }

    private List<Action> storeFailed(PlatformException.Code code) {
        if (creating && code != PlatformException.Code.UNAVAILABLE) {
            uncertainPlace = place;
        }
        if (tries >= MAX_TRIES) {
            return refused(Code.STORE_UNAVAILABLE, "the store can't be reached");
        }
        return List.of(new Action.Pause(pause()));
    }

    private Duration pause() {
        long most = FIRST_PAUSE.toMillis() << Math.min(tries, 10);
        long bounded = Math.min(most, LONGEST_PAUSE.toMillis());
        return Duration.ofMillis(bounded / 2 + random.nextLong(bounded / 2 + 1));
    }

    private List<Action> accepted(long sequence) {
        done = true;
        return List.of(new Action.Accepted(sequence));
    }

    private List<Action> refused(Code code, String message) {
        Optional<TicketHistory.Accepted> own = own();
        if (own.isPresent()) {
            return accepted(own.get().sequence());
        }
        done = true;
        if (uncertainPlace > follower.current().sequence()) {
            return List.of(
                    new Action.Refused(
                            Code.OUTCOME_UNKNOWN,
                            "the ticket may have been accepted; send the same one again",
                            false));
        }
        return List.of(new Action.Refused(code, message, true));
    }
}
