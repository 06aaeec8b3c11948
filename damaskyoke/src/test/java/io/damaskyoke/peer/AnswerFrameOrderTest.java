package io.damaskyoke.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.protobuf.ByteString;
import io.damaskyoke.peer.AnswerFrameOrder.Verdict;
import io.damaskyoke.peer.wire.Chunk;
import io.damaskyoke.peer.wire.End;
import io.damaskyoke.peer.wire.ExchangeId;
import io.damaskyoke.peer.wire.Frame;
import io.damaskyoke.peer.wire.Refused;
import io.damaskyoke.peer.wire.Started;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class AnswerFrameOrderTest {
    private static final ExchangeId MINE = id(1);
    private static final ExchangeId OTHER = id(2);

    @Test
    void anEndThatAnnouncesMoreThanCameBreaksTheAnswer() {
        AnswerFrameOrder order = new AnswerFrameOrder(MINE);
        order.next(started());
        order.next(chunk(1, 3));
        assertEquals(Verdict.WRONG_TOTAL, order.next(end(2, 4)));
        assertEquals(Verdict.LATE, order.next(chunk(3, 1)));
    }

    @Test
    void aChunkBeforeTheStartBreaksTheAnswer() {
        assertEquals(Verdict.MISPLACED, new AnswerFrameOrder(MINE).next(chunk(0, 3)));
    }

    @Property(seed = "20261201", tries = 3000)
    void agreesWithANaiveVersionOnDoubledLateCrossedAndCutLists(
            @ForAll long seed, @ForAll @IntRange(max = 8) int chunks) {
        List<Frame> frames = disturbed(whole(chunks), new Random(seed));
        AnswerFrameOrder order = new AnswerFrameOrder(MINE);
        List<Verdict> verdicts = frames.stream().map(order::next).toList();
        assertEquals(naive(frames), verdicts);
    }

    /** Reference implementation: checks each frame against all the frames before it. */
    private static List<Verdict> naive(List<Frame> frames) {
        List<Verdict> verdicts = new ArrayList<>();
        List<Frame> taken = new ArrayList<>();
        boolean over = false;
        for (Frame frame : frames) {
            Verdict verdict = over ? Verdict.LATE : naiveStep(taken, frame);
            if (!frame.getExchange().equals(MINE)) {
                verdict = Verdict.CROSSED;
            }
            verdicts.add(verdict);
            if (verdict == Verdict.TAKE) {
                taken.add(frame);
            }
            over |= verdict.breaks();
            over |= verdict == Verdict.TAKE && (frame.hasEnd() || frame.hasRefused());
        }
        return verdicts;
    }

    private static Verdict naiveStep(List<Frame> taken, Frame frame) {
        if (taken.stream().anyMatch(other -> other.getSequence() == frame.getSequence())) {
            return Verdict.DOUBLED;
        }
        if (frame.getSequence() != taken.size()) {
            return Verdict.GAP;
        }
        if (frame.hasRefused()) {
            return Verdict.TAKE;
        }
        if (taken.isEmpty() != frame.hasStarted()) {
            return Verdict.MISPLACED;
        }
        long bytes = taken.stream().mapToLong(other -> other.getChunk().getData().size()).sum();
        boolean wrong = frame.hasEnd() && frame.getEnd().getTotalBytes() != bytes;
        return wrong ? Verdict.WRONG_TOTAL : Verdict.TAKE;
    }

    private static List<Frame> whole(int chunks) {
        List<Frame> frames = new ArrayList<>(List.of(started()));
        for (int i = 1; i <= chunks; i++) {
            frames.add(chunk(i, i));
        }
        frames.add(end(chunks + 1, chunks * (chunks + 1) / 2));
        return frames;
    }

    private static List<Frame> disturbed(List<Frame> frames, Random random) {
        for (int i = random.nextInt(5); i > 0 && !frames.isEmpty(); i--) {
            int at = random.nextInt(frames.size());
            Frame frame = frames.get(at);
            switch (random.nextInt(6)) {
                case 0 -> frames.add(random.nextInt(frames.size() + 1), frame);
                case 1 -> frames.remove(at);
                case 2 -> frames.add(at, frame.toBuilder().setExchange(OTHER).build());
                case 3 -> frames.set(at, frame.toBuilder().setRefused(refused()).build());
                case 4 -> frames.add(frames.remove(at));
                default -> frames.subList(at, frames.size()).clear();
            }
        }
        return frames;
    }

    private static Refused refused() {
        return Refused.newBuilder().setCode("OVERLOADED").build();
    }

    private static Frame started() {
        return frame(0).setStarted(Started.newBuilder().setStatus(200)).build();
    }

    private static Frame chunk(int sequence, int size) {
        Chunk chunk = Chunk.newBuilder().setData(ByteString.copyFrom(new byte[size])).build();
        return frame(sequence).setChunk(chunk).build();
    }

    private static Frame end(int sequence, long total) {
        return frame(sequence).setEnd(End.newBuilder().setTotalBytes(total)).build();
    }

    private static Frame.Builder frame(int sequence) {
        return Frame.newBuilder().setExchange(MINE).setSequence(sequence);
    }

    private static ExchangeId id(long counter) {
        return ExchangeId.newBuilder().setIncarnation("router-1:1").setCounter(counter).build();
    }
}
