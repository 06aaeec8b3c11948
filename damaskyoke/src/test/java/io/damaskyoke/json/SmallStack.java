package io.damaskyoke.json;

import java.util.concurrent.Callable;

/** Runs steps on a thread with the stack of a router that shares a small VM. */
public final class SmallStack {
    private static final long STACK_BYTES = 256 * 1024;

    private SmallStack() {}

    /** Returns what the step throws, an error included; null if it ends normally. */
    public static Throwable failureOf(Callable<?> step) throws InterruptedException {
        Throwable[] failure = new Throwable[1];
        Runnable run =
                () -> {
                    try {
                        step.call();
                    } catch (Exception | StackOverflowError e) {
                        failure[0] = e;
                    }
                };
        Thread thread = new Thread(null, run, "small-stack", STACK_BYTES);
        thread.start();
        thread.join();
        return failure[0];
    }
}
