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
    record AdmitRequest(ExchangeId id) implements RateAction {}

    /** Refuse the request. */
    record RefuseRequest(ExchangeId id, Refusal refusal) implements RateAction {}

    /**
     * Read all share tables. A {@link RateInput.SharesRead} or {@link RateInput.SharesReadFailed}
     * must follow.
     */
    record ReadShares() implements RateAction {}

    /** Write the table if the stored one has this revision (0: if there is none), then read it. */
    record WriteShares(WorkspaceId workspace, ShareTable table, long revision)
            implements RateAction {}

    /**
     * Request tokens from another router: those it can spare now, or all of them within a wait.
     *
     * @param tokens the number of tokens; 0 to only report spent transfers
     * @param requestId the id of the token request
     * @param spentTransfers the ids of transfers from that router that are spent or expired
     * @param waitLimits how long the request may wait for the tokens; empty to take what there is
     *     now
     */
    record SendTokenRequest(
            VmId to,
            WorkspaceId workspace,
            long tokens,
            String requestId,
            List<String> spentTransfers,
            Optional<WaitLimits> waitLimits)
            implements RateAction {
        /** Creates a request for the tokens that the other router can spare now. */
        public SendTokenRequest(
                VmId to,
                WorkspaceId workspace,
                long tokens,
                String requestId,
                List<String> spentTransfers) {
            this(to, workspace, tokens, requestId, spentTransfers, Optional.empty());
        }
    }

    /**
     * Transfer tokens to another router. They are already subtracted here.
     *
     * @param transferId the id of the transfer
     * @param queued whether there are no tokens yet, and they will follow
     * @param retryAfter how long until there may be enough, if none are lent
     */
    record SendTokenTransfer(
            VmId to,
            WorkspaceId workspace,
            long tokens,
            String transferId,
            boolean queued,
            Duration retryAfter)
            implements RateAction {
        /** Creates a final answer to a token request. */
        public SendTokenTransfer(VmId to, WorkspaceId workspace, long tokens, String transferId) {
            this(to, workspace, tokens, transferId, false, Duration.ZERO);
        }
    }
}
