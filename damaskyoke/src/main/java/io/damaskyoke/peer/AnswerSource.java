package io.damaskyoke.peer;

import org.apache.pekko.stream.Attributes;
import org.apache.pekko.stream.Outlet;
import org.apache.pekko.stream.SourceShape;
import org.apache.pekko.stream.stage.AbstractOutHandler;
import org.apache.pekko.stream.stage.AsyncCallback;
import org.apache.pekko.stream.stage.GraphStage;
import org.apache.pekko.stream.stage.GraphStageLogic;
import org.apache.pekko.util.ByteString;

/** Streams the chunks of an {@link AnswerBody}; a second run of the same body fails. */
final class AnswerSource extends GraphStage<SourceShape<ByteString>> {
    private final AnswerBody body;
    private final Outlet<ByteString> out = Outlet.create("AnswerSource.out");
    private final SourceShape<ByteString> shape = SourceShape.of(out);

    AnswerSource(AnswerBody body) {
        this.body = body;
    }

    @Override
    public SourceShape<ByteString> shape() {
        return shape;
    }

    @Override
    public GraphStageLogic createLogic(Attributes attributes) {
        return new Logic();
    }

    private final class Logic extends GraphStageLogic {
        private boolean bodyStarted;

        Logic() {
            super(shape);
            setHandler(
                    out,
                    new AbstractOutHandler() {
                        @Override
                        public void onPull() {
                            advance();
                        }

                        @Override
                        public void onDownstreamFinish(Throwable cause) {
                            if (bodyStarted) {
                                body.cancel();
                            }
                            completeStage();
                        }
                    });
        }

        @Override
        public void preStart() {
            AsyncCallback<Boolean> wake = createAsyncCallback(ignored -> advance());
            bodyStarted = body.begin(() -> wake.invoke(true));
            if (!bodyStarted) {
                failStage(new IllegalStateException("the body of an answer can be run only once"));
                return;
            }
            advance();
        }

        private void advance() {
            if (isClosed(out)) {
                return;
            }
            ByteString next = isAvailable(out) ? body.poll() : null;
            if (next != null) {
                push(out, next);
            }
            if (body.finished()) {
                finish();
            }
        }

        private void finish() {
            Throwable failure = body.failure();
            if (failure == null) {
                complete(out);
            } else {
                fail(out, failure);
            }
        }
    }
}
