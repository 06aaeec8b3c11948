package io.damaskyoke.control.rates;

import io.damaskyoke.control.configuration.Workspace;
import io.damaskyoke.id.ExchangeId;
import io.damaskyoke.id.Incarnation;
import io.damaskyoke.id.VmId;
import io.damaskyoke.id.WorkspaceId;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

class RateSessionTest {
    private static final WorkspaceId KITCHENS = WorkspaceId.of("kitchens");
    private static final VmId ONE = VmId.of("router-1");
    private static final VmId TWO = VmId.of("router-2");
    private static final Incarnation SELF = Incarnation.of("router-1:1");
    private static final Incarnation OTHER = Incarnation.of("router-2:1");

    private final RateMachine router =
            RateMachine.of(SELF, ONE, "127.0.0.1:1", RateSettings.defaults());
    private final StringBuilder transcript = new StringBuilder();
    private ShareTable storedTable;
    private long revision;
    private RateAction.SendTokenRequest lastTokenRequest;
    private long nowMillis;

    @Test
    void aWholeSession() {
        section("The first of two routers creates the table and may spend the burst of its half");
        Workspace workspace = new Workspace(KITCHENS, 100, 500, 1);
        feed("configured", new RateInput.WorkspacesConfigured(Map.of(KITCHENS, workspace)));
        feed("listed", new RateInput.RoutersListed(Set.of(ONE, TWO)));
        tick(50);
        read();
        read();
        arrive(1, 200);
        section(
                "A second router joins and finds its half untouched; the first writes how much it"
                        + " wants");
        store(storedTable.join(OTHER, TWO, "127.0.0.1:2", 2, 0));
        read();
        tick(2_000);
        read();
        section(
                "The second router requests tokens, gets what can be spared, and reports when they"
                        + " are spent");
        feed(
                "token request for 50",
                new RateInput.TokensRequested(TWO, KITCHENS, 50, "router-2:1.1", List.of()));
        feed(
                "transfer reported as spent",
                new RateInput.TokensRequested(
                        TWO, KITCHENS, 0, "", List.of("router-2:1.1/router-1")));
        section(
                "A request that needs more than the own tokens is queued until a transfer arrives;"
                        + " a duplicate is ignored");
        arrive(2, 300);
        receiveTransfer("transfer of 200", 200);
        receiveTransfer("duplicate of the transfer", 200);
        section("The next request gets no transfer: it is refused with the time to retry after");
        advance(100);
        arrive(3, 400);
        receiveTransfer("transfer of 0", 0);
        section("A request larger than the burst is refused for good");
        arrive(4, 501);
        section("After a freeze of ten seconds nothing is spent before the store is read");
        advance(10_000);
        arrive(5, 10);
        tick(0);
        read();
        section("Shares stay valid during an outage of the store");
        tick(2_000);
        feed("not read", new RateInput.SharesReadFailed());
        arrive(6, 10);
        section("The router stops and returns its share");
        feed("leave", new RateInput.LeaveRequested());
        tick(2_000);
        read();
        transcript.append("left: ").append(router.holdsNoShares()).append('\n');
        Approvals.verify(transcript);
    }

    private void arrive(long number, long tokens) {
        feed(
                "arrives " + number + ", " + tokens + " tokens",
                new RateInput.RequestArrived(new ExchangeId(SELF, number), KITCHENS, tokens));
    }

    private void receiveTransfer(String what, long tokens) {
        String transferId =
                lastTokenRequest == null ? "none" : lastTokenRequest.requestId() + "/router-2";
        feed(what, new RateInput.TransferReceived(TWO, KITCHENS, tokens, transferId));
    }

    private void read() {
        Map<WorkspaceId, RateInput.ShareRow> rows =
                storedTable == null
                        ? Map.of()
                        : Map.of(KITCHENS, new RateInput.ShareRow(storedTable, revision));
        feed("read", new RateInput.SharesRead(rows, Instant.ofEpochMilli(nowMillis)));
    }

    private void store(ShareTable table) {
        storedTable = table;
        revision++;
    }

    private void tick(long millis) {
        advance(millis);
        feed("tick", new RateInput.Tick());
    }

    private void advance(long millis) {
        nowMillis += millis;
    }

    private void section(String what) {
        transcript.append("\n# ").append(what).append('\n');
    }

    private void feed(String what, RateInput input) {
        transcript.append(nowMillis).append(" ms ").append(what).append('\n');
        for (RateAction action : router.on(input, Instant.ofEpochMilli(nowMillis))) {
            transcript.append("    ").append(text(action)).append('\n');
            if (action instanceof RateAction.WriteShares write && write.revision() == revision) {
                store(write.table());
            } else if (action instanceof RateAction.SendTokenRequest ask && ask.tokens() > 0) {
                lastTokenRequest = ask;
            }
        }
    }

    private static String text(RateAction action) {
        if (action instanceof RateAction.WriteShares write) {
            String json = new String(write.table().toJson(), StandardCharsets.UTF_8);
            return "write over " + write.revision() + ": " + json;
        }
        return action.toString();
    }
}
