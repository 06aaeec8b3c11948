package io.damaskyoke.control.rates;

import io.damaskyoke.exchange.Refusal;
import io.damaskyoke.id.ExchangeId;
import io.damaskyoke.id.VmId;
import io.damaskyoke.id.WorkspaceId;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** The actions that the rate state machine wants carried out. */
public sealed interface RateAction {
    /** Admit the request. Its estimated tokens are already charged. */
    record Admit(ExchangeId id) implements RateAction {}

    /** Refuse the request. */
    record Refuse(ExchangeId id, Refusal refusal) implements RateAction {}

    /** Read all share tables. A {@link RateInput.Read} or {@link RateInput.NotRead} must follow. */
    record Read() implements RateAction {}

    /** Write the table if the stored one has this revision (0: if there is none), then read it. */
    record Write(WorkspaceId workspace, ShareTable table, long revision) implements RateAction {}

    /**
     * Request tokens from another router: those it can spare now, or all of them within a wait.
     *
     * @param tokens the number of tokens; 0 to only report spent transfers
     * @param ask the id of the token request
     * @param spent the ids of transfers from that router that are spent or expired
     * @param within how long the request may wait for the tokens; empty to take what there is now
     */
    record Ask(
            VmId to,
            WorkspaceId workspace,
            long tokens,
            String ask,
            List<String> spent,
            Optional<Wait> within)
            implements RateAction {
        /** Requests the tokens that the other router can spare now. */
        public Ask(VmId to, WorkspaceId workspace, long tokens, String ask, List<String> spent) {
            this(to, workspace, tokens, ask, spent, Optional.empty());
        }
    }

    /**
     * Transfer tokens to another router. They are already subtracted here.
     *
     * @param loan the id of the transfer
     * @param queued whether there are no tokens yet, and they will follow
     * @param comeBack how long until there may be enough, if none are lent
     */
    record Lend(
            VmId to,
            WorkspaceId workspace,
            long tokens,
            String loan,
            boolean queued,
            Duration comeBack)
            implements RateAction {
        /** Answers a token request finally. */
        public Lend(VmId to, WorkspaceId workspace, long tokens, String loan) {
            this(to, workspace, tokens, loan, false, Duration.ZERO);
        }
    }
}
