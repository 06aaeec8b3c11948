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
    record Configured(Map<WorkspaceId, Workspace> workspaces) implements RateInput {}

    /** The store returned all share tables, as they were at some time after {@code askedAt}. */
    record Read(Map<WorkspaceId, Row> rows, Instant askedAt) implements RateInput {}

    /** The answer to a write of this router showed that the store has this row. */
    record RowSeen(WorkspaceId workspace, Row row) implements RateInput {}

    /** The store did not answer a read. */
    record NotRead() implements RateInput {}

    /** The platform listed these VMs as routers. */
    record Listed(Set<VmId> routers) implements RateInput {}

    /**
     * A message from another router arrived that says nothing about tokens. It shows that the
     * router is reachable.
     */
    record Heard(VmId from) implements RateInput {}

    /**
     * A request asks to be admitted.
     *
     * @param tokens the estimated tokens that it is charged
     * @param within how long it may wait for tokens; empty for the default queue timeout
     */
    record Arrived(ExchangeId id, WorkspaceId workspace, long tokens, Optional<Wait> within)
            implements RateInput {
        /** A request that may wait for the default queue timeout. */
        public Arrived(ExchangeId id, WorkspaceId workspace, long tokens) {
            this(id, workspace, tokens, Optional.empty());
        }
    }

    /**
     * A request has finished: it was charged {@code charged} tokens and used {@code used} tokens.
     */
    record Settled(WorkspaceId workspace, long charged, long used) implements RateInput {}

    /**
     * Another router requested tokens.
     *
     * @param tokens the number of tokens; 0 to only report spent transfers
     * @param ask the id of the token request
     * @param spent the ids of transfers from this router that are spent or expired
     * @param within how long the other router waits for all of the tokens; empty if it takes what
     *     there is now
     */
    record Asked(
            VmId from,
            WorkspaceId workspace,
            long tokens,
            String ask,
            List<String> spent,
            Optional<Wait> within)
            implements RateInput {
        /** Another router requested the tokens that can be spared now. */
        public Asked(
                VmId from, WorkspaceId workspace, long tokens, String ask, List<String> spent) {
            this(from, workspace, tokens, ask, spent, Optional.empty());
        }
    }

    /**
     * Another router answered a token request, with tokens or with none.
     *
     * @param loan the id of the transfer
     * @param queued whether there are no tokens yet, and they will follow
     * @param comeBack how long until there may be enough, if none are lent
     */
    record Lent(
            VmId from,
            WorkspaceId workspace,
            long tokens,
            String loan,
            boolean queued,
            Duration comeBack)
            implements RateInput {
        /** Another router answered a token request finally. */
        public Lent(VmId from, WorkspaceId workspace, long tokens, String loan) {
            this(from, workspace, tokens, loan, false, Duration.ZERO);
        }
    }

    /** Time has passed. */
    record Tick() implements RateInput {}

    /** This router stops for good and is to return its shares. */
    record Leave() implements RateInput {}

    /** A share table and its revision in the store. */
    record Row(ShareTable table, long revision) {}
}
