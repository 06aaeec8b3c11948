package io.damaskyoke.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * A small answer, read to its end.
 *
 * @param status 0 if there was none
 * @param failure why there is no whole answer; empty if there is one
 */
public record WholeAnswer(int status, byte[] body, Optional<Failure> failure) {
    private static final WholeAnswer EXPIRED =
            new WholeAnswer(0, new byte[0], Optional.of(Failure.BROKEN));

    /** Gathers an answer and hands it on once: whole, failed or expired. */
    public static final class Reader implements AnswerListener {
        private final Consumer<WholeAnswer> then;
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        private int status;
        private boolean over;

        /** A reader that hands the answer to {@code then}, on the event loop. */
        public Reader(Consumer<WholeAnswer> then) {
            this.then = then;
        }

        /** Ends the wait if it is still on; the request may have arrived. */
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
            finish(new WholeAnswer(status, bytes.toByteArray(), Optional.empty()));
        }

        @Override
        public void failed(Failure failure) {
            finish(new WholeAnswer(0, new byte[0], Optional.of(failure)));
        }

        private void finish(WholeAnswer answer) {
            if (!over) {
                over = true;
                then.accept(answer);
            }
        }
    }
}
