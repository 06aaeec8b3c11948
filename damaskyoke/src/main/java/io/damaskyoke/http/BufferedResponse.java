package io.damaskyoke.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * A small response, buffered completely, or the failure of its exchange.
 *
 * @param status the HTTP status; 0 if there is no complete response
 * @param headers the headers; empty if there is no complete response
 * @param body the complete body; empty if there is no complete response
 * @param failure why there is no complete response; empty if there is one
 */
public record BufferedResponse(
        int status, HttpHeaders headers, byte[] body, Optional<ExchangeFailure> failure) {
    private static final BufferedResponse EXPIRED = failed(ExchangeFailure.BROKEN);

    private static BufferedResponse failed(ExchangeFailure failure) {
        return new BufferedResponse(
                0, EmptyHttpHeaders.INSTANCE, new byte[0], Optional.of(failure));
    }

    /** Collects a response and passes it on once: complete, failed or expired. */
    public static final class Reader implements ResponseListener {
        private final long maxBytes;
        private final Consumer<BufferedResponse> then;
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        private final BooleanSupplier maySend;
        private int status;
        private HttpHeaders headers = EmptyHttpHeaders.INSTANCE;
        private boolean over;

        /**
         * Creates a reader that passes the response to {@code then}, on the event loop.
         *
         * @param maxBytes the size of the largest body; a larger one is a failure
         */
        public Reader(long maxBytes, Consumer<BufferedResponse> then) {
            this(maxBytes, then, () -> true);
        }

        /**
         * Creates a reader of the response to a request that is sent only if {@code maySend} is
         * true once its connection is open; otherwise it fails as one that was not connected.
         */
        public Reader(long maxBytes, Consumer<BufferedResponse> then, BooleanSupplier maySend) {
            this.maxBytes = maxBytes;
            this.then = then;
            this.maySend = maySend;
        }

        /** Cancels the call if it is not over; its request may have reached the server. */
        public void expire(ClientCall call) {
            if (!over) {
                call.cancel();
                finish(EXPIRED);
            }
        }

        @Override
        public boolean beforeSend(HttpHeaders toSend) {
            boolean sends = maySend.getAsBoolean();
            if (!sends) {
                failed(ExchangeFailure.NOT_CONNECTED);
            }
            return sends;
        }

        @Override
        public void head(int answered, HttpHeaders received) {
            status = answered;
            headers = received;
        }

        @Override
        public void part(ByteBuf data) {
            byte[] copy = new byte[data.readableBytes()];
            data.readBytes(copy);
            data.release();
            bytes.writeBytes(copy);
        }

        @Override
        public long maxBodyBytes() {
            return maxBytes;
        }

        @Override
        public void end() {
            finish(new BufferedResponse(status, headers, bytes.toByteArray(), Optional.empty()));
        }

        @Override
        public void failed(ExchangeFailure failure) {
            finish(BufferedResponse.failed(failure));
        }

        private void finish(BufferedResponse answer) {
            if (!over) {
                over = true;
                then.accept(answer);
            }
        }
    }
}
