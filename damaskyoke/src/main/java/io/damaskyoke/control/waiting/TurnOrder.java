package io.damaskyoke.control.waiting;

import io.damaskyoke.id.WorkspaceId;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The order in which the waiting requests of one service have their turns, over all its queues.
 *
 * <p>By arrival: priority, then arrival. Fair: priority, then requests that can still be answered
 * in time, then the workspace that is next by start-time fair queueing, then the earliest deadline
 * for an answer in time, then arrival. Workspaces have equal weights, and a turn costs the tokens
 * of its request.
 */
public final class TurnOrder {
    // One scheduler for all priorities would advance its virtual time with the turns of high
    // priority, and workspaces with low priority would lose what they are ahead or behind.
    private final Map<Integer, FairScheduler<Optional<WorkspaceId>>> byPriority = new HashMap<>();
    private final boolean fair;

    private TurnOrder(boolean fair) {
        this.fair = fair;
    }

    /** Creates an order by priority and arrival. */
    public static TurnOrder byArrival() {
        return new TurnOrder(false);
    }

    /** Creates an order that shares turns among workspaces. */
    public static TurnOrder fair() {
        return new TurnOrder(true);
    }

    /** Returns true if turns are shared among workspaces. */
    public boolean isFair() {
        return fair;
    }

    /** Records that a request has its turn now while others wait. */
    public void recordTurn(WaitingRequest request) {
        if (fair) {
            scheduler(request.priority())
                    .recordRun(request.workspace(), Math.max(1, request.tokenUsage().total()));
        }
    }

    /**
     * Returns the virtual start time of the next turn of the request's workspace; the lowest goes
     * first.
     */
    double nextStart(WaitingRequest request) {
        return fair ? scheduler(request.priority()).nextStart(request.workspace()) : 0;
    }

    private FairScheduler<Optional<WorkspaceId>> scheduler(int priority) {
        return byPriority.computeIfAbsent(priority, any -> new FairScheduler<>(each -> 1.0));
    }
}
