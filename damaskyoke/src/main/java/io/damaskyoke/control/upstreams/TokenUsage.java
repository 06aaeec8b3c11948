package io.damaskyoke.control.upstreams;

/**
 * The tokens that a request states for itself; zeros if it states none.
 *
 * @param prompt tokens of its prompt
 * @param maxOutput the most tokens that are generated for it
 */
public record TokenUsage(long prompt, long maxOutput) {
    /** The usage of a request that does not state any. */
    public static final TokenUsage UNKNOWN = new TokenUsage(0, 0);

    /** Returns all tokens that the request may take in an engine's memory. */
    public long total() {
        return prompt + maxOutput;
    }
}
