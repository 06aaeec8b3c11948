package io.damaskyoke.peer;

import io.damaskyoke.peer.wire.ExchangeId;
import io.damaskyoke.peer.wire.Frame;

/**
 * Checks that the frames of one answer come in order: {@code Started}, chunks, {@code End}, or
 * {@code Refused} in place of the remaining frames; numbered from 0 without gaps.
 *
 * <p>Each frame gets a verdict. An answer is complete only if every frame was received and the
 * bytes add up to the total in the last one.
 */
final class AnswerFrameOrder {
    /** What to do with a frame. */
    enum Verdict {
        /** The next frame in order: process it. */
        TAKE,
        /** Belongs to another exchange: drop it. */
        CROSSED,
        /** A duplicate: drop it. */
        DOUBLED,
        /** The answer has already ended: drop it. */
        LATE,
        /** Frames before it are missing: the answer is broken. */
        GAP,
        /** A frame of this kind is not allowed at this point: the answer is broken. */
        MISPLACED,
        /** The bytes don't add up to the announced total: the answer is broken. */
        WRONG_TOTAL;

        /** Returns true if the answer is broken. */
        boolean breaks() {
            return this == GAP || this == MISPLACED || this == WRONG_TOTAL;
        }
    }

    private enum State {
        AWAITING {
            @Override
            Verdict step(AnswerFrameOrder order, Frame frame) {
                return switch (frame.getKindCase()) {
                    case STARTED -> order.moveTo(STREAMING);
                    case REFUSED -> order.moveTo(DONE);
                    default -> order.breakWith(Verdict.MISPLACED);
                };
            }
        },
        STREAMING {
            @Override
            Verdict step(AnswerFrameOrder order, Frame frame) {
                return switch (frame.getKindCase()) {
                    case CHUNK -> order.add(frame.getChunk().getData().size());
                    case END -> order.end(frame.getEnd().getTotalBytes());
                    case REFUSED -> order.moveTo(DONE);
                    default -> order.breakWith(Verdict.MISPLACED);
                };
            }
        },
        DONE {
            @Override
            Verdict step(AnswerFrameOrder order, Frame frame) {
                return Verdict.LATE;
            }
        };

        abstract Verdict step(AnswerFrameOrder order, Frame frame);
    }

    private final ExchangeId id;
    private final FrameSequence sequence = new FrameSequence();
    private State state = State.AWAITING;
    private long bytes;

    AnswerFrameOrder(ExchangeId id) {
        this.id = id;
    }

    /** Checks the next received frame. */
    Verdict next(Frame frame) {
        if (!frame.getExchange().equals(id)) {
            return Verdict.CROSSED;
        }
        if (state == State.DONE) {
            return Verdict.LATE;
        }
        return switch (sequence.next(frame.getSequence())) {
            case DOUBLED -> Verdict.DOUBLED;
            case GAP -> breakWith(Verdict.GAP);
            case IN_ORDER -> state.step(this, frame);
        };
    }

    private Verdict add(int size) {
        bytes += size;
        return Verdict.TAKE;
    }

    private Verdict end(long total) {
        state = State.DONE;
        return total == bytes ? Verdict.TAKE : Verdict.WRONG_TOTAL;
    }

    private Verdict moveTo(State next) {
        state = next;
        return Verdict.TAKE;
    }

    private Verdict breakWith(Verdict how) {
        state = State.DONE;
        return how;
    }
}
