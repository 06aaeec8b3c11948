package io.damaskyoke.control.relay;

import io.damaskyoke.control.StateMachine;
import io.damaskyoke.id.VmId;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Confirms the configuration while no process can reach the store, from the answers of every
 * router.
 *
 * <p>Only routers write tickets. If every router answers "this is my last entry and I have no
 * pending write", then whatever was accepted before the first of them was <em>asked</em> is known.
 * So that is the time of the confirmation; what a router accepts after its answer is newer and is
 * not covered. One router that does not answer, has a pending write, or was restarted and can't
 * answer for its former incarnation prevents the confirmation: it may have withdrawn a key.
 */
public final class OutageConfirmation implements StateMachine<OutageInput, OutageAction> {
    /** The number of routers up to which each relay asks all; see docs/design/configuration.md. */
    public static final int MAX_ROUTERS = 64;

    private static final Duration MAX_UNCONFIRMED = Duration.ofSeconds(3);
    private static final Duration QUESTION_INTERVAL = Duration.ofSeconds(1);
    private static final long FIRST_QUESTION_NUMBER = 1L << 62;

    private final VmId self;
    private final Map<Long, Question> questions = new HashMap<>();
    private final Map<VmId, Answer> answers = new HashMap<>();
    private final RouterRoster roster = new RouterRoster();
    private Set<VmId> listed = Set.of();
    private Optional<Instant> confirmed = Optional.empty();
    private Instant nextQuestionsAt = Instant.MIN;
    private long lastQuestion = FIRST_QUESTION_NUMBER;

    private record Question(VmId router, Instant at) {}

    private record Answer(Instant askedAt, long head) {}

    private OutageConfirmation(VmId self) {
        this.self = self;
    }

    /** Creates a state machine for the router on this VM. */
    public static OutageConfirmation of(VmId self) {
        return new OutageConfirmation(self);
    }

    /**
     * Returns true if this number belongs to a question of such a machine, not to a relay's probe.
     */
    public static boolean isOutageQuestion(long number) {
        return number > FIRST_QUESTION_NUMBER;
    }

    @Override
    public List<OutageAction> on(OutageInput input, Instant now) {
        if (input instanceof OutageInput.RoutersListed list) {
            listed = Set.copyOf(list.routers());
            roster.recordListing(listed, list.askedAt());
        } else if (input instanceof OutageInput.Confirmed other) {
            confirmedElsewhere(other.asOf());
        } else if (input instanceof OutageInput.RouterAnswered answer) {
            acceptAnswer(answer, now);
        } else if (input instanceof OutageInput.Tick tick) {
            return tick(tick.ownState(), now);
        }
        return List.of();
    }

    private void confirmedElsewhere(Instant asOf) {
        if (confirmed.isEmpty() || asOf.isAfter(confirmed.get())) {
            confirmed = Optional.of(asOf);
            roster.forgetGoneBefore(asOf);
        }
    }

    private void acceptAnswer(OutageInput.RouterAnswered answer, Instant now) {
        Question question = questions.remove(answer.number());
        if (question == null || !question.router().equals(answer.from())) {
            return;
        }
        OutageInput.RouterState state = answer.state();
        boolean firstIncarnation =
                roster.isFirstIncarnation(answer.from(), answer.incarnation(), now);
        if (state.settled() && (state.confirmedInThisIncarnation() || firstIncarnation)) {
            answers.merge(
                    answer.from(),
                    new Answer(question.at(), state.head()),
                    (old, fresh) -> old.askedAt().isAfter(fresh.askedAt()) ? old : fresh);
        }
    }

    private List<OutageAction> tick(OutageInput.RouterState own, Instant now) {
        boolean gapless = confirmed.filter(roster::isGaplessSince).isPresent();
        boolean possible =
                gapless && listed.contains(self) && roster.routers().size() <= MAX_ROUTERS;
        if (!isNeeded(now) || !possible) {
            return List.of();
        }
        List<OutageAction> actions = new ArrayList<>();
        confirm(own, actions);
        if (!now.isBefore(nextQuestionsAt)) {
            nextQuestionsAt = now.plus(QUESTION_INTERVAL);
            askAll(now, actions);
        }
        return actions;
    }

    /**
     * Returns true while nothing has confirmed the configuration for several seconds; only then are
     * routers asked.
     */
    public boolean isNeeded(Instant now) {
        return confirmed.filter(at -> now.isAfter(at.plus(MAX_UNCONFIRMED))).isPresent();
    }

    private void confirm(OutageInput.RouterState own, List<OutageAction> actions) {
        if (!own.settled() || !own.confirmedInThisIncarnation()) {
            return;
        }
        Instant asOf = roster.lastRead().orElse(Instant.MIN);
        long head = own.head();
        for (VmId router : others()) {
            Answer known = answers.get(router);
            if (known == null) {
                return;
            }
            asOf = asOf.isBefore(known.askedAt()) ? asOf : known.askedAt();
            head = Math.max(head, known.head());
        }
        // If this router is behind another one, the missing entries are being delivered, and a
        // later tick confirms.
        if (head == own.head() && asOf.isAfter(confirmed.orElse(Instant.MIN))) {
            confirmed = Optional.of(asOf);
            actions.add(new OutageAction.Confirm(head, asOf));
        }
    }

    private void askAll(Instant now, List<OutageAction> actions) {
        questions.values().removeIf(question -> question.at().plus(MAX_UNCONFIRMED).isBefore(now));
        for (VmId router : others()) {
            questions.put(++lastQuestion, new Question(router, now));
            actions.add(new OutageAction.AskRouter(router, lastQuestion));
        }
    }

    private List<VmId> others() {
        return roster.routers().stream().filter(vm -> !vm.equals(self)).toList();
    }
}
