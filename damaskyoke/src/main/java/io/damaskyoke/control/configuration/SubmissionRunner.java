package io.damaskyoke.control.configuration;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.platform.PlatformException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Executes the actions of one {@link TicketSubmission} against the log. Runs on the control thread.
 */
final class SubmissionRunner {
    private final ControlThread control;
    private final ConfigurationLog log;
    private final TicketSubmission submission;
    private final Ticket ticket;
    private final PendingWrites pendingWrites;
    private final Consumer<ConfigurationSnapshot> onSnapshot;
    private final CompletableFuture<TicketResult> result = new CompletableFuture<>();

    SubmissionRunner(
            ControlThread control,
            ConfigurationLog log,
            TicketSubmission submission,
            Ticket ticket,
            PendingWrites pendingWrites,
            Consumer<ConfigurationSnapshot> onSnapshot) {
        this.control = control;
        this.log = log;
        this.submission = submission;
        this.ticket = ticket;
        this.pendingWrites = pendingWrites;
        this.onSnapshot = onSnapshot;
    }

    CompletionStage<TicketResult> start() {
        feed(new TicketSubmission.Input.TicketSubmitted(ticket));
        return result;
    }

    private void feed(TicketSubmission.Input input) {
        submission.on(input, control.clock().instant()).forEach(this::execute);
    }

    private void execute(TicketSubmission.Action action) {
        if (action instanceof TicketSubmission.Action.ReadLog read) {
            feedResult(readAll(read.from(), List.of()), input -> input);
        } else if (action instanceof TicketSubmission.Action.CreateEntry create) {
            create(create);
        } else if (action instanceof TicketSubmission.Action.Pause pause) {
            control.after(pause.duration(), () -> feed(new TicketSubmission.Input.PauseElapsed()));
        } else if (action instanceof TicketSubmission.Action.ReportAccepted accepted) {
            result.complete(
                    new TicketResult.Accepted(
                            ticket.number(), accepted.sequence(), ticket.digest()));
        } else if (action instanceof TicketSubmission.Action.ReportRefused refused) {
            result.complete(
                    new TicketResult.Refused(
                            ticket.number(),
                            refused.code(),
                            refused.message(),
                            refused.outcomeKnown()));
        }
    }

    private void create(TicketSubmission.Action.CreateEntry create) {
        pendingWrites.writeStarted(create.sequence());
        log.create(create.sequence(), create.value())
                .whenComplete((done, error) -> control.run(() -> created(done, error)));
    }

    private void created(Boolean done, Throwable error) {
        if (error == null) {
            pendingWrites.writeAnswered();
            feed(new TicketSubmission.Input.CreateAnswered(done));
        } else {
            TicketSubmission.Input.StoreFailed failure = failure(error);
            pendingWrites.writeFailed(failure.code());
            feed(failure);
        }
    }

    private CompletionStage<TicketSubmission.Input> readAll(long from, List<LogEntry> before) {
        return log.read(from)
                .thenCompose(
                        page -> {
                            page.snapshot()
                                    .ifPresent(it -> control.run(() -> onSnapshot.accept(it)));
                            List<LogEntry> all = new ArrayList<>(before);
                            all.addAll(page.entries());
                            long head = all.isEmpty() ? 0 : all.get(all.size() - 1).sequence();
                            if (page.last()) {
                                return CompletableFuture.completedFuture(
                                        new TicketSubmission.Input.LogRead(all, head));
                            }
                            return readAll(head + 1, all);
                        });
    }

    private <T> void feedResult(
            CompletionStage<T> stage, Function<T, TicketSubmission.Input> input) {
        stage.whenComplete(
                (value, error) ->
                        control.run(
                                () -> feed(error == null ? input.apply(value) : failure(error))));
    }

    private static TicketSubmission.Input.StoreFailed failure(Throwable error) {
        Throwable cause = error instanceof CompletionException ? error.getCause() : error;
        PlatformException.Code code =
                cause instanceof PlatformException platform
                        ? platform.code()
                        : PlatformException.Code.OUTCOME_UNKNOWN;
        return new TicketSubmission.Input.StoreFailed(code);
    }
}
