package io.damaskyoke.control.rates;

import io.damaskyoke.exchange.Refusal;
import io.damaskyoke.id.ExchangeId;
import io.damaskyoke.id.VmId;
import io.damaskyoke.id.WorkspaceId;
import java.util.List;

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

    /** Ask that router for tokens. */
    record Ask(VmId to, WorkspaceId workspace, long tokens, String ask, List<String> spent)
            implements RateAction {}

    /** Lend tokens to that router; they are subtracted already. */
    record Lend(VmId to, WorkspaceId workspace, long tokens, String loan) implements RateAction {}
}
