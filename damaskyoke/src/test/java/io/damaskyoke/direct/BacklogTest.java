package io.damaskyoke.direct;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.damaskyoke.control.SameThreadControl;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class BacklogTest {
    private static final Duration PERIOD = Duration.ofMillis(50);

    private final SameThreadControl control = new SameThreadControl();
    private final LoopLag lag = new LoopLag(PERIOD);
    private final Backlog backlog = new Backlog(control, lag);
    private final List<String> done = new ArrayList<>();

    @Test
    void aThreadThatKeepsUpServesAtOnce() {
        lag.ticked(control.clock().instant());
        control.advance(PERIOD);
        backlog.pass(() -> done.add("served"));
        assertEquals(List.of("served"), done);
    }

    // Guards against requests sent on after their callers have left, by a thread that was held for
    // most of a second and reads what came long ago before it reads who has gone.
    @Test
    void aThreadThatIsBehindLooksAtItsSocketsOnceMore() {
        lag.ticked(control.clock().instant());
        control.advance(Duration.ofMillis(900));
        backlog.pass(() -> done.add("served"));
        done.add("looked");
        control.advance(Duration.ofMillis(5));
        assertEquals(List.of("looked", "served"), done);
    }
}
