package io.damaskyoke.control.upstreams;

import io.damaskyoke.control.cold.ColdGate;
import io.damaskyoke.control.cold.LimitGate;

/** What keeps requests from one upstream, and outlives its entry in the list. */
record Gates(ColdGate cold, LimitGate limit) {
    /** Gates that let everything through. */
    Gates() {
        this(new ColdGate(), new LimitGate());
    }
}
