package io.damaskyoke.control.waiting;

import io.damaskyoke.control.upstreams.TokenUsage;
import io.damaskyoke.id.WorkspaceId;
import java.time.Instant;
import java.util.Optional;

/** What the order of waiting requests depends on. */
public interface WaitingRequest {
    /** Returns the priority; 0 goes first. */
    int priority();

    /** Returns the workspace of the caller, if the route needs one. */
    Optional<WorkspaceId> workspace();

    /** Returns the tokens that the request states; {@link TokenUsage#UNKNOWN} if it states none. */
    TokenUsage tokenUsage();

    /** Returns when the request must be sent at the latest to meet its objective. */
    Instant onTimeSendDeadline();
}
