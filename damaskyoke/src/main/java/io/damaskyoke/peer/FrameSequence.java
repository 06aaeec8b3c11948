package io.damaskyoke.peer;

/** Checks the frame numbers of an exchange in one direction: 0, 1, 2 ... as unsigned 32 bits. */
final class FrameSequence {
    /** The position of a frame number relative to the numbers before it. */
    enum Position {
        IN_ORDER,
        DOUBLED,
        GAP
    }

    private long expected;

    Position next(int number) {
        long given = Integer.toUnsignedLong(number);
        if (given < expected) {
            return Position.DOUBLED;
        }
        if (given > expected) {
            return Position.GAP;
        }
        expected++;
        return Position.IN_ORDER;
    }
}
