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

/** What can happen to a router's part in the rates. */
public sealed interface RateInput {
    /** What operators have set. */
    record Configured(Map<WorkspaceId, Workspace> workspaces) implements RateInput {}

    /** All tables, as the store had them at some time after {@code askedAt}. */
    record Read(Map<WorkspaceId, Row> rows, Instant askedAt) implements RateInput {}

    /** The store has this row, as the answer to a write of ours shows. */
    record RowSeen(WorkspaceId workspace, Row row) implements RateInput {}

    /** The store did not answer a read. */
    record NotRead() implements RateInput {}

    /** The VMs of routers that the platform lists. */
    record Listed(Set<VmId> routers) implements RateInput {}

    /** Another router was heard of. */
    record Heard(VmId from) implements RateInput {}

    /** A request wants in; without a wait of its own it may wait for the usual holding time. */
    record Arrived(ExchangeId id, WorkspaceId workspace, long tokens, Optional<Wait> within)
            implements RateInput {
        /** A request that may wait for the usual holding time. */
        public Arrived(ExchangeId id, WorkspaceId workspace, long tokens) {
            this(id, workspace, tokens, Optional.empty());
        }
    }

    /** A request is over; it was charged the one and used the other. */
    record Settled(WorkspaceId workspace, long charged, long used) implements RateInput {}

    /**
     * Another router is short of tokens; {@code spent} are loans of ours that are used up. One that
     * waits wants all the tokens or none, and will wait so long for them.
     */
    record Asked(
            VmId from,
            WorkspaceId workspace,
            long tokens,
            String ask,
            List<String> spent,
            Optional<Wait> within)
            implements RateInput {
        /** A router that takes what there is now. */
        public Asked(
                VmId from, WorkspaceId workspace, long tokens, String ask, List<String> spent) {
            this(from, workspace, tokens, ask, spent, Optional.empty());
        }
    }

    /**
     * Another router lends tokens, perhaps none, as an answer to what we asked.
     *
     * @param queued if the tokens will follow, and these are none
     * @param comeBack when there may be enough, if these are none
     */
    record Lent(
            VmId from,
            WorkspaceId workspace,
            long tokens,
            String loan,
            boolean queued,
            Duration comeBack)
            implements RateInput {
        /** An answer that is final. */
        public Lent(VmId from, WorkspaceId workspace, long tokens, String loan) {
            this(from, workspace, tokens, loan, false, Duration.ZERO);
        }
    }

    /** Time has passed. */
    record Tick() implements RateInput {}

    /** This router stops for good: it gives its shares back. */
    record Leave() implements RateInput {}

    /** A table and where it stands in the store. */
    record Row(ShareTable table, long revision) {}
}
