package io.damaskyoke.http;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.damaskyoke.metrics.Metrics;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;

/** A pool of connections to servers that answer at random moments: once, twice, late or cut. */
class ConnectionPoolPropertyTest {
    private static final long FIRST = Long.getLong("pool.first", 1);
    private static final int SEEDS = Integer.getInteger("pool.count", 300);

    /** With -Dpool.all, all seeds are played, and the share of those that fail is told. */
    private static final boolean ALL = Boolean.getBoolean("pool.all");

    // Guards against an answer of another send, a second run and a false word of not having run.
    @Test
    void eachAnswerIsThatOfItsSendAndNothingRunsTwice() throws Exception {
        int failed = 0;
        long unhit = 0;
        long served = 0;
        String first = "";
        for (long seed = FIRST; seed < FIRST + SEEDS; seed++) {
            Play play = new Play(seed);
            try {
                play.run();
            } catch (AssertionError e) {
                if (!ALL) {
                    throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
                }
                failed++;
                first = first.isEmpty() ? "seed " + seed + ": " + e.getMessage() : first;
            }
            unhit += play.unhit;
            served += play.served;
        }
        String share = served + " of " + unhit + " answered at first";
        if (ALL) {
            System.out.println(share);
        }
        assertTrue(failed == 0, failed + " of " + SEEDS + " seeds failed, first " + first);
        assertTrue(unhit >= 10L * SEEDS, "only " + unhit + " sends that the server left alone");
        assertTrue(10 * served >= 9 * unhit, share);
    }

    /** One seed: a client, its servers' connections, and what comes next. */
    private static final class Play {
        private static final int STEPS = 400;
        private static final int MAX_OPEN_REQUESTS = 6;
        private static final int LAST_ROUNDS = 50;
        private static final int MAX_IDLE = 32;
        private static final Duration[] IDLE_LIMITS = {
            Duration.ZERO, Duration.ofMillis(300), Duration.ofSeconds(3), Duration.ofSeconds(3)
        };

        private final Random random;
        private final Map<Endpoint, List<PoolServer>> servers = new HashMap<>();
        private final List<PoolServer> connections = new ArrayList<>();
        private final Queue<Runnable> afterRead = new ArrayDeque<>();
        private final List<PoolSend.Request> requests = new ArrayList<>();
        private final List<PoolSend> sends = new ArrayList<>();
        private final Map<PoolSend, ClientCall> calls = new HashMap<>();
        private final List<PoolSend> mayRepeat = new ArrayList<>();
        private final HttpClient client;
        private PoolSend sending;
        private long nanos;
        private long unhit;
        private long served;

        Play(long seed) {
            random = new Random(seed);
            client = new HttpClient(this::open, afterRead::add, () -> nanos, new Metrics());
        }

        private ChannelFuture open(Endpoint to, ChannelHandler handler) {
            PoolServer connection = new PoolServer(random, handler, sending);
            connections.add(connection);
            servers.computeIfAbsent(to, any -> new ArrayList<>()).add(connection);
            return connection.connected();
        }

        void run() throws Exception {
            for (int step = 0; step < STEPS; step++) {
                step();
                connections.forEach(each -> each.receive(sends));
                checkConnections();
            }
            finish();
            sends.forEach(each -> each.check(each.over || each.canceled, "no end"));
            sends.forEach(each -> assertTrue(each.fault.isEmpty(), each.fault));
            sends.stream().filter(PoolSend::isFirst).forEach(this::count);
        }

        private void count(PoolSend send) {
            if (!send.hit && !send.canceled && !send.written.isEmpty()) {
                unhit++;
                served += send.answer.isEmpty() ? 0 : 1;
            }
        }

        private void step() throws Exception {
            switch (random.nextInt(12)) {
                case 0, 1 -> ask();
                case 2 -> repeat();
                case 3, 4 -> runAfterRead();
                case 5 -> connect();
                case 6, 7 -> any(PoolServer::hasRequest).ifPresent(PoolServer::answer);
                case 8, 9 -> any(PoolServer::hasBytesUnderWay).ifPresent(PoolServer::deliver);
                case 10 -> any(PoolServer::hasExtra).ifPresent(PoolServer::writeExtra);
                default -> disturb();
            }
        }

        private void disturb() {
            nanos += random.nextInt((int) TimeUnit.SECONDS.toNanos(1));
            switch (random.nextInt(6)) {
                case 0 -> client.closeExpired();
                case 1 ->
                        any(PoolServer::isOpen).ifPresent(each -> each.close(random.nextBoolean()));
                case 2 -> cancel();
                case 3 ->
                        any(each -> each.isOpen() && !each.isRequestWritten())
                                .ifPresent(PoolServer::greet);
                default -> {}
            }
        }

        private void ask() {
            if (sends.stream().filter(each -> !each.over && !each.canceled).count()
                    >= MAX_OPEN_REQUESTS) {
                return;
            }
            int number = requests.size();
            boolean sameId = number > 0 && random.nextInt(10) == 0;
            String id = sameId ? requests.get(random.nextInt(number)).id : "id" + number;
            PoolSend.Request request =
                    new PoolSend.Request(number, random.nextInt(10) == 0 ? "" : id);
            requests.add(request);
            send(request);
        }

        private void repeat() {
            if (!mayRepeat.isEmpty()) {
                send(mayRepeat.remove(random.nextInt(mayRepeat.size())).request);
            }
        }

        private void send(PoolSend.Request request) {
            PoolSend send = new PoolSend(request, sends.size(), this::ended);
            sends.add(send);
            sending = send;
            ClientRequest sent =
                    new ClientRequest(
                            HttpMethod.GET,
                            send.path(),
                            new DefaultHttpHeaders().set("Try", request.id),
                            Unpooled.EMPTY_BUFFER,
                            ResponseMatch.byId(request.id, headers -> headers.getAll("Try")),
                            IDLE_LIMITS[random.nextInt(IDLE_LIMITS.length)]);
            Endpoint to = new Endpoint("127.0.0.1", 1 + random.nextInt(2));
            calls.put(send, client.send(to, sent, send));
        }

        private void ended(PoolSend send) {
            if (send.countsAsNotRun && random.nextBoolean()) {
                send(send.request);
            } else if (send.countsAsNotRun) {
                mayRepeat.add(send);
            }
        }

        private void cancel() {
            List<PoolSend> open = sends.stream().filter(each -> !each.over).toList();
            if (!open.isEmpty()) {
                PoolSend send = open.get(random.nextInt(open.size()));
                send.canceled = true;
                calls.get(send).cancel();
            }
        }

        private void runAfterRead() {
            for (int count = afterRead.size(); count > 0; count--) {
                afterRead.remove().run();
            }
        }

        private void connect() throws Exception {
            Optional<PoolServer> connection = any(PoolServer::isConnecting);
            if (connection.isEmpty()) {
                return;
            }
            if (random.nextInt(10) == 0) {
                connection.get().refuse();
            } else {
                connection.get().accept();
            }
        }

        private Optional<PoolServer> any(Predicate<PoolServer> kind) {
            List<PoolServer> all = connections.stream().filter(kind).toList();
            return all.isEmpty()
                    ? Optional.empty()
                    : Optional.of(all.get(random.nextInt(all.size())));
        }

        private void checkConnections() {
            long open = connections.stream().filter(PoolServer::isOpen).count();
            long asked = sends.stream().filter(each -> !each.over && !each.canceled).count();
            long bound = asked + (long) MAX_IDLE * servers.size();
            assertTrue(open <= bound, open + " connections for " + asked + " requests");
        }

        private void acceptAll() throws Exception {
            for (PoolServer each : List.copyOf(connections)) {
                if (each.isConnecting()) {
                    each.accept();
                }
            }
        }

        /** Lets all that is open come to its end. */
        private void finish() throws Exception {
            for (int round = 0; round < LAST_ROUNDS; round++) {
                acceptAll();
                runAfterRead();
                connections.forEach(each -> each.receive(sends));
                for (PoolServer each : List.copyOf(connections)) {
                    if (each.isOpen() && random.nextInt(3) == 0) {
                        each.close(false);
                    }
                    if (each.hasRequest()) {
                        each.answer();
                    }
                    if (each.hasBytesUnderWay()) {
                        each.deliver();
                    }
                }
            }
            acceptAll();
            servers.keySet().forEach(client::closeIdle);
            long open = connections.stream().filter(PoolServer::isOpen).count();
            assertTrue(open == 0, open + " connections stay open");
            connections.forEach(PoolServer::release);
        }
    }
}
