package io.damaskyoke.control.rates;

import io.damaskyoke.exchange.Refusal;
import io.damaskyoke.id.ExchangeId;
import io.damaskyoke.id.VmId;
import io.damaskyoke.id.WorkspaceId;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** What a router is to do for the rates. */
public sealed interface RateAction {
    /** Let the request in; its estimate is charged. */
    record Admit(ExchangeId id) implements RateAction {}

    /** Refuse the request. */
    record Refuse(ExchangeId id, Refusal refusal) implements RateAction {}

    /** Read all tables; a {@link RateInput.Read} or {@code NotRead} must follow. */
    record Read() implements RateAction {}

    /** Write the table if the stored one has this revision (0: if there is none); then read. */
    record Write(WorkspaceId workspace, ShareTable table, long revision) implements RateAction {}

    /** Ask that router for tokens: for what it has now, or for all of them within a wait. */
    record Ask(
            VmId to,
            WorkspaceId workspace,
            long tokens,
            String ask,
            List<String> spent,
            Optional<Wait> within)
            implements RateAction {
        /** Asks for what it has now. */
        public Ask(VmId to, WorkspaceId workspace, long tokens, String ask, List<String> spent) {
            this(to, workspace, tokens, ask, spent, Optional.empty());
        }
    }

    /**
     * Lend tokens to that router; they are subtracted already.
     *
     * @param queued if there are none yet, and they will follow
     * @param comeBack when there may be enough, if these are none
     */
    record Lend(
            VmId to,
            WorkspaceId workspace,
            long tokens,
            String loan,
            boolean queued,
            Duration comeBack)
            implements RateAction {
        /** An answer that is final. */
        public Lend(VmId to, WorkspaceId workspace, long tokens, String loan) {
            this(to, workspace, tokens, loan, false, Duration.ZERO);
        }
    }
}
