package io.damaskyoke.control.serving;

import io.damaskyoke.exchange.Refusal;
import io.damaskyoke.exchange.RefusalCode;
import io.damaskyoke.id.ExchangeId;
import io.damaskyoke.id.Incarnation;
import io.damaskyoke.id.ModelName;
import io.damaskyoke.id.WorkspaceId;
import java.time.Instant;
import java.util.Optional;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

class ServingSessionTest {
    private static final Optional<ModelName> CUT_SHEET = Optional.of(ModelName.of("cut-sheet"));

    private final ServingMachine agent = ServingMachine.of(1, 3);
    private final StringBuilder transcript = new StringBuilder();
    private long now;

    @Test
    void aWholeSession() {
        heading("Two requests wait for the load of the same model");
        arrive(1, "kitchens", CUT_SHEET, 10_000);
        arrive(2, "kitchens", CUT_SHEET, 10_000);
        after(900);
        feed("ready 1", new ServingInput.ModelReady(id(1)));
        feed("ready 2", new ServingInput.ModelReady(id(2)));
        after(1_000);
        feed("finished 1", new ServingInput.RunFinished(id(1)));
        heading(
                "One workspace fills the queue; another one's request replaces its newest and runs"
                        + " first");
        arrive(3, "kitchens", Optional.empty(), 20_000);
        arrive(4, "kitchens", Optional.empty(), 20_000);
        arrive(5, "kitchens", Optional.empty(), 20_000);
        arrive(6, "leases", Optional.empty(), 20_000);
        feed("finished 2", new ServingInput.RunFinished(id(2)));
        heading("A queued request is cancelled; a load fails; a deadline can't be met");
        feed("cancelled 4", new ServingInput.RequestCancelled(id(4)));
        arrive(7, "leases", CUT_SHEET, 5_000);
        Refusal failed = Refusal.notRun(RefusalCode.LOAD_FAILED, "the engine said no");
        feed("unavailable 7", new ServingInput.ModelUnavailable(id(7), failed));
        arrive(8, "leases", CUT_SHEET, 50);
        after(50);
        feed("tick", new ServingInput.Tick());
        heading("The agent drains: it refuses new requests and finishes those it has");
        feed("drain", new ServingInput.DrainStarted());
        arrive(9, "leases", Optional.empty(), 10_000);
        for (long number : new long[] {6, 3, 5}) {
            after(100);
            feed("finished " + number, new ServingInput.RunFinished(id(number)));
        }
        transcript.append("drained: ").append(agent.isDrained()).append('\n');
        Approvals.verify(transcript);
    }

    private void arrive(long number, String workspace, Optional<ModelName> model, long millis) {
        Instant deadline = Instant.ofEpochMilli(now + millis);
        feed(
                "arrives " + number + " of " + workspace + ", " + millis + " ms left",
                new ServingInput.RequestArrived(
                        id(number), WorkspaceId.of(workspace), model, deadline));
    }

    private void after(long millis) {
        now += millis;
    }

    private void heading(String text) {
        transcript.append("\n# ").append(text).append('\n');
    }

    private void feed(String description, ServingInput input) {
        transcript.append(now).append(" ms ").append(description).append('\n');
        for (ServingAction action : agent.on(input, Instant.ofEpochMilli(now))) {
            transcript.append("    ").append(action).append('\n');
        }
    }

    private static ExchangeId id(long number) {
        return new ExchangeId(Incarnation.of("router-1:1"), number);
    }
}
