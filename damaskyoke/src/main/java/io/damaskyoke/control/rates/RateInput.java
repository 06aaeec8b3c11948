package io.damaskyoke.control.rates;

import io.damaskyoke.control.configuration.Workspace;
import io.damaskyoke.id.ExchangeId;
import io.damaskyoke.id.VmId;
import io.damaskyoke.id.WorkspaceId;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The events that the rate state machine of a router reacts to. */
public sealed interface RateInput {
    /** Operators have configured the workspaces. */
    record WorkspacesConfigured(Map<WorkspaceId, Workspace> workspaces) implements RateInput {}

    /** The store returned all share tables, as they were at some time after {@code requestedAt}. */
    record SharesRead(Map<WorkspaceId, ShareRow> rows, Instant requestedAt) implements RateInput {}

    /** The answer to a write of this router showed that the store has this row. */
    record ShareRowReceived(WorkspaceId workspace, ShareRow row) implements RateInput {}

    /** The store did not answer a read. */
    record SharesReadFailed() implements RateInput {}

    /**
     * The platform listed these VMs as routers.
     *
     * @param holderCandidates those of them that may hold shares where not all of them do
     */
    record RoutersListed(Set<VmId> routers, Set<VmId> holderCandidates) implements RateInput {
        /** Creates a list of routers that may all hold shares. */
        public RoutersListed(Set<VmId> routers) {
            this(routers, routers);
        }
    }

    /**
     * A message from another router arrived that says nothing about tokens. It shows that the
     * router is reachable.
     */
    record PeerMessageReceived(VmId from) implements RateInput {}

    /**
     * A request asks to be admitted.
     *
     * @param tokens the estimated tokens that it is charged
     * @param waitLimits how long it may wait for tokens; empty for the default queue timeout
     */
    record RequestArrived(
            ExchangeId id, WorkspaceId workspace, long tokens, Optional<WaitLimits> waitLimits)
            implements RateInput {
        /** Creates the arrival of a request that may wait for the default queue timeout. */
        public RequestArrived(ExchangeId id, WorkspaceId workspace, long tokens) {
            this(id, workspace, tokens, Optional.empty());
        }
    }

    /**
     * A request has finished: it was charged {@code charged} tokens and used {@code used} tokens.
     */
    record RequestSettled(WorkspaceId workspace, long charged, long used) implements RateInput {}

    /**
     * Another router requested tokens.
     *
     * @param tokens the number of tokens; 0 to only report spent transfers
     * @param requestId the id of the token request
     * @param spentTransfers the ids of transfers from this router that are spent or expired
     * @param waitLimits how long the other router waits for all of the tokens; empty if it takes
     *     what there is now
     */
    record TokensRequested(
            VmId from,
            WorkspaceId workspace,
            long tokens,
            String requestId,
            List<String> spentTransfers,
            Optional<WaitLimits> waitLimits)
            implements RateInput {
        /** Creates a request of another router for the tokens that can be spared now. */
        public TokensRequested(
                VmId from,
                WorkspaceId workspace,
                long tokens,
                String requestId,
                List<String> spentTransfers) {
            this(from, workspace, tokens, requestId, spentTransfers, Optional.empty());
        }
    }

    /**
     * Another router answered a token request, with tokens or with none.
     *
     * @param transferId the id of the transfer
     * @param queued whether there are no tokens yet, and they will follow
     * @param retryAfter how long until there may be enough, if none are lent
     */
    record TransferReceived(
            VmId from,
            WorkspaceId workspace,
            long tokens,
            String transferId,
            boolean queued,
            Duration retryAfter)
            implements RateInput {
        /** Creates a final answer of another router to a token request. */
        public TransferReceived(VmId from, WorkspaceId workspace, long tokens, String transferId) {
            this(from, workspace, tokens, transferId, false, Duration.ZERO);
        }
    }

    /** Time has passed. */
    record Tick() implements RateInput {}

    /** This router stops for good and is to return its shares. */
    record LeaveRequested() implements RateInput {}

    /** A share table and its revision in the store. */
    record ShareRow(ShareTable table, long revision) {}
}
