package io.damaskyoke.peer;

import static io.damaskyoke.peer.TestPeers.address;
import static io.damaskyoke.peer.TestPeers.count;
import static io.damaskyoke.peer.TestPeers.get;
import static io.damaskyoke.peer.TestPeers.network;
import static io.damaskyoke.peer.TestPeers.request;
import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.damaskyoke.exchange.Answer;
import io.damaskyoke.exchange.ExchangeException;
import io.damaskyoke.exchange.Header;
import io.damaskyoke.exchange.Refusal;
import io.damaskyoke.exchange.RefusalCode;
import io.damaskyoke.metrics.Metrics;
import io.damaskyoke.peer.wire.End;
import io.damaskyoke.peer.wire.Frame;
import io.damaskyoke.peer.wire.Invoke;
import io.damaskyoke.peer.wire.Load;
import io.damaskyoke.peer.wire.Started;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.pekko.Done;
import org.apache.pekko.NotUsed;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.stream.SystemMaterializer;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.SinkQueueWithCancel;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ExchangeTest {
    private static final ActorSystem SYSTEM = ActorSystem.create("exchange-test");
    private static final Duration LONG = Duration.ofSeconds(60);
    private static final Load LOAD = Load.newBuilder().setRunning(3).build();

    private final BlockingQueue<IncomingExchange> incoming = new LinkedBlockingQueue<>();
    private final Metrics metrics = new Metrics();
    private final ExchangeClient client =
            ExchangeClient.of(TestPeers.settings(0, LONG), () -> 42L, metrics);
    private final ExchangeServer server =
            ExchangeServer.of(
                    incoming::add,
                    InstantSource.system(),
                    SystemMaterializer.get(SYSTEM).materializer(),
                    metrics);
    private final PeerNetwork router =
            network("router-1", metrics, LONG).addListener(client).build().start();
    private final PeerNetwork agent =
            network("agent-1", metrics, LONG).addListener(server).build().start();
    private PeerLink link;

    @BeforeEach
    void connect() throws Exception {
        link = get(router.connect(address("agent-1", agent.port())));
    }

    @AfterEach
    void close() {
        router.close();
        agent.close();
    }

    @AfterAll
    static void terminate() {
        SYSTEM.terminate();
    }

    @Test
    void anAnswerIsReceivedCompleteWithItsTokensAndLoad() throws Exception {
        Exchange exchange = invoke(1);
        IncomingExchange taken = taken();
        assertEquals(42L, taken.configSequence());
        assertEquals("/pay", taken.request().path());
        serve(taken, Source.single(ByteString.fromString("paid")));
        ExchangeResult.Served served = served(exchange);
        assertEquals("paid", get(collected(served)).utf8String());
        ExchangeResult.Ending ending = get(served.ending());
        assertEquals(new ExchangeResult.Ending(4, 17, LOAD), ending);
        await().until(() -> client.running() == 0 && server.running() == 0);
    }

    @Test
    void aBodyLargerThanTheCreditWindowIsReceivedComplete() throws Exception {
        Exchange exchange = invoke(1);
        ByteString block = ByteString.fromArray(new byte[100_000]);
        serve(taken(), Source.repeat(block).take(50));
        assertEquals(5_000_000, get(collected(served(exchange))).size());
    }

    // A caller reads slowly while the upstream could send without end. The agent must take from
    // the upstream no more than the credit, one element in hand and one in the stream's buffer,
    // or a few slow callers would exhaust the memory of router and agent.
    @Test
    void aSlowCallerLimitsBufferingToTheCredit() throws Exception {
        Exchange exchange = invoke(1);
        AtomicLong produced = new AtomicLong();
        Source<ByteString, NotUsed> endless =
                Source.repeat(ByteString.fromArray(new byte[1024]))
                        .map(
                                block -> {
                                    produced.addAndGet(block.size());
                                    return block;
                                });
        serve(taken(), endless);
        SinkQueueWithCancel<ByteString> slow =
                served(exchange).body().runWith(Sink.queue(1), SYSTEM);
        long got = 0;
        for (int i = 0; i < 200; i++) {
            got += get(slow.pull()).orElseThrow().size();
            assertTrue(produced.get() <= got + TestPeers.CREDIT + 64 * 1024);
        }
        slow.cancel();
        await().until(() -> client.running() == 0 && server.running() == 0);
    }

    @Test
    void aCallerThatCancelsTheBodyCancelsTheUpstream() throws Exception {
        Exchange exchange = invoke(1);
        IncomingExchange taken = taken();
        AtomicInteger cancels = new AtomicInteger();
        taken.onCancel(cancels::incrementAndGet);
        CompletionStage<Done> upstreamTermination =
                serveWatched(taken, Source.repeat(ByteString.fromString("token ")));
        served(exchange).body().runWith(Sink.cancelled(), SYSTEM);
        get(upstreamTermination);
        await().until(() -> cancels.get() == 1 && taken.cancelled());
    }

    @Test
    void aRefusalKeepsItsCodeNotRunAndRetryAfter() throws Exception {
        Exchange exchange = invoke(1);
        Refusal refusal =
                Refusal.notRun(RefusalCode.OVERLOADED, "full").retryAfter(Duration.ofSeconds(2));
        taken().refuse(refusal, LOAD);
        assertEquals(
                new ExchangeResult.Refused(refusal, Optional.of(LOAD)), get(exchange.result()));
    }

    // The upstream cuts off in the middle of an answer. The caller must see a failed body, not a
    // short one that looks complete; and since the request ran, never "not run".
    @Test
    void anUpstreamFailureInTheMiddleFailsTheBody() throws Exception {
        Exchange exchange = invoke(1);
        serve(
                taken(),
                Source.single(ByteString.fromString("half"))
                        .concat(Source.failed(new IllegalStateException("cut"))));
        assertBroken("UPSTREAM_CUT", served(exchange));
    }

    // The link closes while one request waits for its first frame and another one streams. The
    // first
    // may have run, so it is Lost rather than NotSent; the second fails in the middle; and the
    // agent cancels both upstream calls.
    @Test
    void aClosedLinkLosesPendingExchangesAndFailsStreamingBodies() throws Exception {
        Exchange streaming = invoke(1);
        IncomingExchange first = taken();
        CompletionStage<Done> upstreamTermination =
                serveWatched(
                        first,
                        Source.maybe()
                                .map(ignored -> ByteString.emptyByteString())
                                .mapMaterializedValue(ignored -> NotUsed.getInstance()));
        ExchangeResult.Served served = served(streaming);
        Exchange waiting = invoke(2);
        IncomingExchange second = taken();
        router.forget(address("agent-1", agent.port()));
        assertInstanceOf(ExchangeResult.Lost.class, get(waiting.result()));
        assertBroken("CONNECTION_LOST", served);
        get(upstreamTermination);
        await().until(() -> first.cancelled() && second.cancelled());
        Exchange late = invoke(3);
        assertInstanceOf(ExchangeResult.NotSent.class, get(late.result()));
    }

    @Test
    void cancellingBeforeTheFirstFrameGivesLostAndCancelsAtTheAgent() throws Exception {
        Exchange exchange = invoke(1);
        IncomingExchange taken = taken();
        exchange.cancel("deadline");
        assertInstanceOf(ExchangeResult.Lost.class, get(exchange.result()));
        await().until(taken::cancelled);
        serve(taken, Source.single(ByteString.fromString("too late")));
        assertEquals(0, server.running());
    }

    // The router wrongly resends a request that it gave up as lost. The agent must not run it a
    // second time, or a payment would be charged twice; it refuses the duplicate as one that may
    // have run.
    @Test
    void aDuplicateInvocationIsHandledOnce() throws Exception {
        Exchange first = invoke(1);
        serve(taken(), Source.single(ByteString.fromString("paid")));
        get(collected(served(first)));
        await().until(() -> client.running() == 0 && server.running() == 0);
        ExchangeResult.Refused again =
                assertInstanceOf(ExchangeResult.Refused.class, get(invoke(1).result()));
        assertFalse(again.refusal().notRun());
        assertTrue(incoming.isEmpty());
        assertEquals(1, count(metrics, "exchange_doubled"));
    }

    @Test
    void anEndWithAWrongTotalFailsTheBody() throws Exception {
        Exchange exchange = invoke(1);
        PeerLink back = taken().link();
        Frame.Builder frame = Frame.newBuilder().setExchange(InvokeCodec.toWire(request(1).id()));
        back.send(frame.setSequence(0).setStarted(Started.getDefaultInstance()).build());
        back.send(frame.setSequence(0).setStarted(Started.getDefaultInstance()).build());
        back.send(frame.setSequence(1).setEnd(End.newBuilder().setTotalBytes(5)).build());
        assertBroken("INCOMPLETE", served(exchange));
        assertEquals(1, count(metrics, "exchange_frames_dropped{reason=\"doubled\"}"));
    }

    @Test
    void interleavedAnswersReachTheirOwnCallers() throws Exception {
        // Twenty callers wait on one link. The agent answers them in reverse order and all at once,
        // so their frames interleave; a frame of an ended answer is sent again. Each caller
        // gets its own complete answer.
        List<Exchange> exchanges = new ArrayList<>();
        for (long id = 1; id <= 20; id++) {
            exchanges.add(invoke(id));
        }
        List<IncomingExchange> taken = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            taken.add(0, taken());
        }
        taken.forEach(each -> serve(each, numbered(each.request().id().counter())));
        for (int i = 0; i < 20; i++) {
            String body = get(collected(served(exchanges.get(i)))).utf8String();
            assertEquals(((i + 1) + " ".repeat(200)).repeat(200), body);
        }
        Frame.Builder late = Frame.newBuilder().setExchange(InvokeCodec.toWire(request(1).id()));
        taken.get(0).link().send(late.setSequence(1).setEnd(End.getDefaultInstance()).build());
        Exchange next = invoke(21);
        serve(taken(), numbered(21));
        String body = get(collected(served(next))).utf8String();
        assertEquals(("21" + " ".repeat(200)).repeat(200), body);
        assertEquals(0, client.running());
    }

    // Guards against a late answer of one agent that is taken for that of the next one to which the
    // same request was sent.
    @Test
    void aLateAnswerOnAnotherLinkIsDropped() throws Exception {
        Exchange first = invoke(1);
        PeerLink late = taken().link();
        first.cancel("slow");
        assertInstanceOf(ExchangeResult.Lost.class, get(first.result()));
        try (PeerNetwork other =
                network("agent-2", metrics, LONG).addListener(server()).build().start()) {
            link = get(router.connect(address("agent-2", other.port())));
            Exchange second = invoke(1);
            IncomingExchange taken = taken();
            Frame.Builder frame = frame(1);
            late.send(frame.setSequence(0).setStarted(Started.getDefaultInstance()).build());
            late.send(frame.setSequence(1).setEnd(End.getDefaultInstance()).build());
            String crossed = "exchange_frames_dropped{reason=\"crossed\"}";
            await().until(() -> count(metrics, crossed) == 2);
            serve(taken, Source.single(ByteString.fromString("second")));
            assertEquals("second", get(collected(served(second))).utf8String());
        }
    }

    // Guards against an answer from before a reconnect that is taken for the answer after it.
    @Test
    void anAnswerFromBeforeAReconnectIsDropped() throws Exception {
        Exchange first = invoke(1);
        IncomingExchange taken = taken();
        router.forget(address("agent-1", agent.port()));
        assertInstanceOf(ExchangeResult.Lost.class, get(first.result()));
        await().until(taken::cancelled);
        connect();
        Exchange second = invoke(1);
        serve(taken, Source.single(ByteString.fromString("first")));
        ExchangeResult.Refused refused =
                assertInstanceOf(ExchangeResult.Refused.class, get(second.result()));
        assertFalse(refused.refusal().notRun());
        assertTrue(incoming.isEmpty());
    }

    // Guards against an answer to an exchange that has ended, which ends another one.
    @Test
    void aSecondAnswerToAnExchangeIsNotSent() throws Exception {
        Exchange exchange = invoke(1);
        Exchange other = invoke(2);
        IncomingExchange taken = taken();
        serve(taken, Source.single(ByteString.fromString("paid")));
        assertEquals("paid", get(collected(served(exchange))).utf8String());
        taken.refuse(Refusal.notRun(RefusalCode.OVERLOADED, "full"), LOAD);
        serve(taken, Source.single(ByteString.fromString("again")));
        serve(taken(), Source.single(ByteString.fromString("other")));
        assertEquals("other", get(collected(served(other))).utf8String());
        assertEquals(0, count(metrics, "exchange_frames_dropped{reason=\"unknown\"}"));
    }

    // Guards against a request that runs and is refused as not run, as its invocation came again
    // in a form that can't be read.
    @Test
    void aMalformedDuplicateInvocationDoesNotRefuseTheRunningOne() throws Exception {
        Exchange exchange = invoke(1);
        IncomingExchange taken = taken();
        link.send(frame(1).setInvoke(Invoke.getDefaultInstance()).build());
        await().until(() -> count(metrics, "exchange_malformed") == 1);
        serve(taken, Source.single(ByteString.fromString("paid")));
        assertEquals("paid", get(collected(served(exchange))).utf8String());
    }

    private static Frame.Builder frame(long counter) {
        return Frame.newBuilder().setExchange(InvokeCodec.toWire(request(counter).id()));
    }

    private ExchangeServer server() {
        return ExchangeServer.of(
                incoming::add,
                InstantSource.system(),
                SystemMaterializer.get(SYSTEM).materializer(),
                metrics);
    }

    private static Source<ByteString, NotUsed> numbered(long id) {
        return Source.repeat(ByteString.fromString(id + " ".repeat(200))).take(200);
    }

    @Test
    void anInvocationContainsNeitherTheKeyNorItsId() {
        Header key = new Header("authorization", "Bearer planted-secret");
        byte[] bytes = InvokeCodec.toInvoke(request(1, key), LONG, 1, 1).toByteArray();
        String sent = new String(bytes, StandardCharsets.ISO_8859_1);
        assertTrue(sent.contains("/pay"));
        assertFalse(sent.contains("planted"));
    }

    private Exchange invoke(long counter) {
        return client.invoke(link, request(counter), Duration.ofSeconds(30));
    }

    private IncomingExchange taken() throws Exception {
        IncomingExchange exchange = incoming.poll(20, TimeUnit.SECONDS);
        assertTrue(exchange != null, "no invocation was received");
        return exchange;
    }

    private static void serve(IncomingExchange exchange, Source<ByteString, NotUsed> body) {
        exchange.serve(new Answer.Served(200, List.of(), body), () -> LOAD, () -> 17L);
    }

    private static CompletionStage<Done> serveWatched(
            IncomingExchange exchange, Source<ByteString, NotUsed> body) {
        CompletableFuture<Done> end = new CompletableFuture<>();
        serve(
                exchange,
                body.watchTermination(
                        (unused, done) -> {
                            done.whenComplete((d, t) -> end.complete(Done.done()));
                            return unused;
                        }));
        return end;
    }

    private static ExchangeResult.Served served(Exchange exchange) throws Exception {
        return assertInstanceOf(ExchangeResult.Served.class, get(exchange.result()));
    }

    private static CompletionStage<ByteString> collected(ExchangeResult.Served served) {
        return served.body().runFold(ByteString.emptyByteString(), ByteString::concat, SYSTEM);
    }

    private static void assertBroken(String code, ExchangeResult.Served served) {
        ExecutionException body =
                assertThrows(ExecutionException.class, () -> get(collected(served)));
        assertEquals(code, ((ExchangeException) body.getCause()).codeName());
        assertThrows(ExecutionException.class, () -> get(served.ending()));
    }
}
