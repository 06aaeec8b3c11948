package io.damaskyoke.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** One send of a request, as the caller and the server see it. */
final class PoolSend implements ResponseListener {
    /** What confirms in an answer that its request has not run. */
    static final String NOT_RUN = "Not-Run";

    /** A request that a caller wants answered; other callers may use the same id. */
    static final class Request {
        final int number;
        final String id;
        final List<PoolSend> sends = new ArrayList<>();
        int runs;

        Request(int number, String id) {
            this.number = number;
            this.id = id;
        }
    }

    final Request request;
    final int number;
    private final Consumer<PoolSend> then;
    private final StringBuilder received = new StringBuilder();

    /** The answer that the server wrote for this send: its status and its body. */
    String written = "";

    /** Whether the server began to run this send. */
    boolean ran;

    /** Whether the server has harmed the connection or the answer, or the caller has left. */
    boolean hit;

    boolean over;
    boolean canceled;

    /** The answer that was passed on, or empty. */
    String answer = "";

    boolean countsAsNotRun;

    /** The first check that failed, or empty. */
    String fault = "";

    PoolSend(Request request, int number, Consumer<PoolSend> then) {
        this.request = request;
        this.number = number;
        this.then = then;
        request.sends.add(this);
    }

    String path() {
        return "/" + request.number + "/" + number;
    }

    boolean isFirst() {
        return request.sends.get(0) == this;
    }

    @Override
    public void head(int status, HttpHeaders headers) {
        check(received.isEmpty(), "two heads");
        received.append(status).append(' ');
        countsAsNotRun = headers.contains(NOT_RUN);
    }

    @Override
    public void part(ByteBuf data) {
        check(!received.isEmpty(), "a part before the head");
        received.append(data.toString(StandardCharsets.US_ASCII));
        data.release();
    }

    @Override
    public void end() {
        answer = received.toString();
        check(answer.equals(written), "passed on: " + answer + ", written: " + written);
        over();
    }

    @Override
    public void failed(ExchangeFailure failure) {
        countsAsNotRun = !failure.mayHaveArrived();
        over();
    }

    private void over() {
        check(!canceled, "an answer after the cancellation");
        check(!over, "a second end");
        check(!countsAsNotRun || !ran, "counts as not run, and ran");
        over = true;
        then.accept(this);
    }

    // What a listener throws ends with its connection, so that it is noted here.
    void check(boolean holds, String otherwise) {
        if (!holds && fault.isEmpty()) {
            fault = "send " + path() + ": " + otherwise;
        }
    }
}
