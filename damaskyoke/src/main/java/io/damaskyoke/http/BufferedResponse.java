package io.damaskyoke.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * A small response, buffered completely, or the failure of its exchange.
 *
 * @param status the HTTP status; 0 if there is no complete response
 * @param body the complete body; empty if there is no complete response
 * @param failure why there is no complete response; empty if there is one
 */
public record BufferedResponse(int status, byte[] body, Optional<ExchangeFailure> failure) {
    private static final BufferedResponse EXPIRED =
            new BufferedResponse(0, new byte[0], Optional.of(ExchangeFailure.BROKEN));

    /** Collects a response and passes it on once: complete, failed or expired. */
    public static final class Reader implements ResponseListener {
        private final Consumer<BufferedResponse> then;
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        private int status;
        private boolean over;

        /** Creates a reader that passes the response to {@code then}, on the event loop. */
        public Reader(Consumer<BufferedResponse> then) {
            this.then = then;
        }

        /** Cancels the call if it is not over; its request may have reached the server. */
        public void expire(ClientCall call) {
            if (!over) {
                call.cancel();
                finish(EXPIRED);
            }
        }

        @Override
        public void head(int answered, HttpHeaders headers) {
            status = answered;
        }

        @Override
        public void part(ByteBuf data) {
            byte[] copy = new byte[data.readableBytes()];
            data.readBytes(copy);
            data.release();
            bytes.writeBytes(copy);
        }

        @Override
        public void end() {
            finish(new BufferedResponse(status, bytes.toByteArray(), Optional.empty()));
        }

        @Override
        public void failed(ExchangeFailure failure) {
            finish(new BufferedResponse(0, new byte[0], Optional.of(failure)));
        }

        private void finish(BufferedResponse answer) {
            if (!over) {
                over = true;
                then.accept(answer);
            }
        }
    }
}
