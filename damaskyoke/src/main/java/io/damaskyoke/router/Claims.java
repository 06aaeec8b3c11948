package io.damaskyoke.router;

import io.damaskyoke.control.ControlThread;
import io.damaskyoke.control.claims.ClaimAction;
import io.damaskyoke.control.claims.ClaimAction.Result;
import io.damaskyoke.control.claims.ClaimException;
import io.damaskyoke.control.claims.ClaimKeys;
import io.damaskyoke.control.claims.ClaimRecord;
import io.damaskyoke.control.claims.ClaimRecord.Outcome;
import io.damaskyoke.control.claims.ClaimSettings;
import io.damaskyoke.control.claims.RepeatPolicy;
import io.damaskyoke.exchange.AnswerRecorder;
import io.damaskyoke.exchange.Refusal;
import io.damaskyoke.exchange.RefusalCode;
import io.damaskyoke.exchange.Request;
import io.damaskyoke.id.VmId;
import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.node.Node;
import io.damaskyoke.peer.ExchangeResult;
import io.damaskyoke.peer.PeerLink;
import io.damaskyoke.platform.KeyValueStore.Entry;
import io.damaskyoke.timeline.EventType;
import io.damaskyoke.timeline.Timeline;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import java.util.function.LongFunction;
import org.apache.pekko.NotUsed;
import org.apache.pekko.stream.Materializer;
import org.apache.pekko.stream.SystemMaterializer;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;

/**
 * Claims idempotency keys for requests, so that a request which callers repeat runs at most once:
 * {@code claims.claim(request, vm, connect).thenAccept(...)}. Results come on the control thread,
 * and all methods must be called on it.
 */
final class Claims {
    private static final Duration RETRY_AFTER = Duration.ofSeconds(2);
    private static final Duration CLOCK_MARGIN = Duration.ofSeconds(5);
    private static final Duration LOOK_UP_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration WRITE_RETRY_TIME = Duration.ofMinutes(5);

    private final ControlThread control;
    private final ClaimStore store;
    private final ClaimQueries queries;
    private final Metrics metrics;
    private final Timeline timeline;
    private final String prefix;
    private final ClaimSettings settings;
    private final Materializer materializer;

    Claims(
            ControlThread control,
            ClaimStore store,
            ClaimQueries queries,
            Metrics metrics,
            Timeline timeline,
            String storePrefix,
            ClaimSettings settings,
            Materializer materializer) {
        this.control = control;
        this.store = store;
        this.queries = queries;
        this.metrics = metrics;
        this.timeline = timeline;
        this.prefix = storePrefix;
        this.settings = settings;
        this.materializer = materializer;
    }

    /** Returns the claims of a router. The seed randomizes its retries. */
    static Claims start(Node node, ClaimQueries queries, ClaimSettings settings, long seed) {
        return new Claims(
                node.control(),
                new ClaimStore(
                        node.control(),
                        node.store(),
                        node.metrics(),
                        settings,
                        new Random(seed ^ node.incarnation().value().hashCode())),
                queries,
                node.metrics(),
                node.timeline(),
                node.storePrefix(),
                settings,
                SystemMaterializer.get(node.system()).materializer());
    }

    /**
     * Claims the request's key for a run at this agent.
     *
     * @param connect connects to an agent that must be asked about an earlier run
     */
    CompletionStage<ClaimResult> claim(
            Request request, VmId vm, Function<VmId, CompletionStage<PeerLink>> connect) {
        return new ClaimAttempt(request, vm, connect).write(Optional.empty());
    }

    /**
     * Looks up the outcome of the key without claiming it, for a request that no agent can take.
     *
     * <p>The lookup is written as a delete on condition that the key doesn't exist, which changes
     * nothing either way. So it shares the transactions of the writes and costs no call to the
     * store of its own. If the store is unavailable, the result is that nothing was found.
     */
    CompletionStage<ClaimResult> lookUp(
            Request request, Function<VmId, CompletionStage<PeerLink>> connect) {
        EarlierRequest earlier = new EarlierRequest(request, connect);
        Instant giveUpAt = now().plus(LOOK_UP_TIMEOUT);
        return store.write(earlier.key, Optional.empty(), Optional.empty(), 0, giveUpAt, true)
                .thenCompose(
                        result ->
                                result instanceof Result.Conflict conflict
                                                && conflict.found().isPresent()
                                        ? earlier.handleClaim(
                                                conflict.found().get(), revision -> notFound())
                                        : notFound());
    }

    /** Moves a claim to another agent, when its request is known not to have run at the first. */
    CompletionStage<ClaimResult> move(
            HeldClaim held,
            Request request,
            VmId vm,
            Function<VmId, CompletionStage<PeerLink>> connect) {
        return new ClaimAttempt(request, vm, connect).write(Optional.of(held.revision()));
    }

    /**
     * Returns the number of claim writes that have no result yet. A stopping router waits for them
     * for a short time.
     */
    int pendingWrites() {
        return store.pendingWrites();
    }

    /**
     * Releases a claim whose request is known not to have run and never to run. The write is
     * retried for minutes. Returns true once the claim is known to be removed, and false if another
     * request has claimed the key or the store can't be reached.
     */
    CompletionStage<Boolean> release(HeldClaim held) {
        metrics.count("claims_released");
        return store.write(
                        held.key(),
                        Optional.of(held.revision()),
                        Optional.empty(),
                        held.lease(),
                        now().plus(WRITE_RETRY_TIME),
                        false)
                .thenApply(result -> result instanceof Result.Written);
    }

    /** Returns the answer's body, which is recorded in the claim once it has passed completely. */
    Source<ByteString, NotUsed> recordingBody(HeldClaim held, ExchangeResult.Served served) {
        return AnswerRecorder.tap(
                served.body(),
                settings.maxBodyBytes(),
                body ->
                        control.run(
                                () ->
                                        settle(
                                                held,
                                                new Outcome(
                                                        served.status(), served.headers(), body))));
    }

    /** Records an answer whose caller has disconnected, for the caller's next attempt. */
    void recordUndelivered(HeldClaim held, ExchangeResult.Served served) {
        recordingBody(held, served).runWith(Sink.ignore(), materializer);
    }

    /** Records the answer to the claim's request. The write is retried for minutes. */
    void settle(HeldClaim held, Outcome outcome) {
        ClaimRecord settled = held.record().settled(outcome);
        store.write(
                        held.key(),
                        Optional.of(held.revision()),
                        Optional.of(settled.toJson()),
                        held.lease(),
                        now().plus(WRITE_RETRY_TIME),
                        false)
                .thenAccept(result -> countSettled(held.record(), result));
    }

    private void countSettled(ClaimRecord record, Result result) {
        boolean written = result instanceof Result.Written;
        metrics.count("claims_settled", "written", String.valueOf(written));
        if (written) {
            timeline.add(EventType.CLAIM_SETTLED, record.exchange().toString());
        }
    }

    private Instant now() {
        return control.clock().instant();
    }

    private CompletionStage<ClaimResult> notFound() {
        metrics.count("claims", "result", "not_found");
        return done(new ClaimResult.NotFound());
    }

    private static CompletionStage<ClaimResult> done(ClaimResult result) {
        return CompletableFuture.completedFuture(result);
    }

    /** An attempt to claim a request's key for one agent. */
    private final class ClaimAttempt {
        private final Request request;
        private final EarlierRequest earlier;
        private final String key;
        private final ClaimRecord newRecord;
        private final Instant giveUpAt;
        private Optional<Long> expected = Optional.empty();

        ClaimAttempt(Request request, VmId vm, Function<VmId, CompletionStage<PeerLink>> connect) {
            this.request = request;
            this.earlier = new EarlierRequest(request, connect);
            this.key = earlier.key;
            this.newRecord =
                    ClaimRecord.claimed(
                            request.id(),
                            vm,
                            earlier.digest,
                            request.deadline().plus(CLOCK_MARGIN));
            this.giveUpAt =
                    now().plus(settings.claimTimeout(Duration.between(now(), request.deadline())));
        }

        CompletionStage<ClaimResult> write(Optional<Long> expectedRevision) {
            expected = expectedRevision;
            return store.write(
                            key,
                            expectedRevision,
                            Optional.of(newRecord.toJson()),
                            0,
                            giveUpAt,
                            true)
                    .thenCompose(this::handleResult);
        }

        private CompletionStage<ClaimResult> handleResult(Result result) {
            if (result instanceof Result.Written written) {
                timeline.add(
                        EventType.CLAIMED,
                        request.id().toString(),
                        Map.of("agent", newRecord.agent().value()));
                metrics.count("claims", "result", "held");
                return done(new ClaimResult.Claimed(held(written)));
            }
            if (result instanceof Result.Conflict conflict) {
                return conflict.found()
                        .map(entry -> earlier.handleClaim(entry, this::takeOver))
                        .orElseGet(() -> write(Optional.empty()));
            }
            metrics.count("claims", "result", "store_unavailable");
            if (((ClaimAction.Result.Abandoned) result).mayHaveTakenEffect()) {
                releaseUncertainClaim();
            }
            return done(new ClaimResult.Refused(unavailable()));
        }

        private CompletionStage<ClaimResult> takeOver(long revision) {
            metrics.count("claims", "result", "taken_over");
            return write(Optional.of(revision));
        }

        // The claim may be in the store although its request was refused. If it stayed there, each
        // repeat would be refused with an unknown outcome although the payment never ran. Writing
        // the same claim again shows whether it is stored and at which revision, so that it can be
        // removed.
        private void releaseUncertainClaim() {
            Instant end = now().plus(WRITE_RETRY_TIME);
            store.write(key, expected, Optional.of(newRecord.toJson()), 0, end, false)
                    .thenAccept(
                            result -> {
                                if (result instanceof Result.Written written) {
                                    release(held(written));
                                }
                            });
        }

        private HeldClaim held(Result.Written written) {
            return new HeldClaim(key, newRecord, written.revision(), store.lease());
        }
    }

    /** Decides what an earlier request with the same key means for this request. */
    private final class EarlierRequest {
        private final Request request;
        private final Function<VmId, CompletionStage<PeerLink>> connect;
        private final String key;
        private final String digest;

        EarlierRequest(Request request, Function<VmId, CompletionStage<PeerLink>> connect) {
            this.request = request;
            this.connect = connect;
            this.key =
                    ClaimKeys.storeKey(
                            prefix, request.workspace(), request.idempotencyKey().orElseThrow());
            this.digest = ClaimKeys.digest(request);
        }

        /**
         * Handles a claim that was found in the store, asking its agent for the outcome if needed.
         *
         * @param ifNeverRuns called with the claim's revision if its request is known never to run
         */
        CompletionStage<ClaimResult> handleClaim(
                Entry entry, LongFunction<CompletionStage<ClaimResult>> ifNeverRuns) {
            ClaimRecord found;
            try {
                found = ClaimRecord.parse(entry.value());
            } catch (ClaimException e) {
                metrics.count("claims", "result", "unreadable");
                return done(new ClaimResult.Refused(unreadable()));
            }
            RepeatPolicy.Decision decision = RepeatPolicy.decideFromStore(found, digest);
            if (!(decision instanceof RepeatPolicy.Decision.AskAgent)) {
                return applyDecision(decision, entry, found, ifNeverRuns);
            }
            return queries.ask(connect.apply(found.agent()), request)
                    .thenCompose(answer -> control.call(() -> answer))
                    .thenCompose(
                            answer ->
                                    applyDecision(
                                            RepeatPolicy.decideFromAgent(found, answer, now()),
                                            entry,
                                            found,
                                            ifNeverRuns));
        }

        private CompletionStage<ClaimResult> applyDecision(
                RepeatPolicy.Decision decision,
                Entry entry,
                ClaimRecord found,
                LongFunction<CompletionStage<ClaimResult>> ifNeverRuns) {
            if (decision instanceof RepeatPolicy.Decision.TakeOver) {
                return ifNeverRuns.apply(entry.modRevision());
            }
            if (decision instanceof RepeatPolicy.Decision.Replay replay) {
                metrics.count("claims", "result", "repeat");
                HeldClaim held = new HeldClaim(key, found, entry.modRevision(), entry.lease());
                if (!found.equals(replay.settled())) {
                    settle(held, replay.settled().outcome().orElseThrow());
                }
                return done(new ClaimResult.AlreadyAnswered(replay.settled()));
            }
            Refusal refusal = ((RepeatPolicy.Decision.Refuse) decision).refusal();
            metrics.count("claims", "result", refusal.code().wireName());
            return done(new ClaimResult.Refused(refusal));
        }
    }

    private static Refusal unavailable() {
        return Refusal.mayHaveRun(
                        RefusalCode.STORE_UNAVAILABLE,
                        "this attempt was not run because the store is unavailable and its"
                            + " idempotency key can't be checked; an earlier attempt with the same"
                            + " key may have run")
                .retryAfter(RETRY_AFTER);
    }

    private static Refusal unreadable() {
        return Refusal.mayHaveRun(
                RefusalCode.OUTCOME_UNKNOWN,
                "the stored claim of this idempotency key can't be parsed");
    }
}
