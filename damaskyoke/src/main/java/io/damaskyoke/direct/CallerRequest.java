package io.damaskyoke.direct;

import io.damaskyoke.control.upstreams.ModelRef;
import io.damaskyoke.control.upstreams.TokenUsage;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The fields that a router reads from a caller's request headers.
 *
 * @param attemptId the id of this attempt by the caller, which differs when the caller repeats the
 *     request; an empty string if there is none
 * @param host the host name by which the route is selected
 * @param callerKey the caller key, if any
 * @param model the requested model, at a model service
 * @param promptParts the ids of the prompt's parts that other requests may share, in order; the
 *     part that belongs to this request alone is not among them
 * @param tokenUsage the caller's figures for the tokens of prompt and answer, if it states them
 * @param deadline how long the caller waits from now
 * @param lastEventId the id of the last event that the caller received, if it resumes a stream
 */
public record CallerRequest(
        String attemptId,
        String host,
        Optional<String> callerKey,
        Optional<ModelRef> model,
        List<String> promptParts,
        Optional<TokenUsage> tokenUsage,
        Optional<Duration> deadline,
        Optional<String> lastEventId) {
    /** Returns the tokens of prompt and answer together, if the caller states them. */
    public OptionalLong tokens() {
        return tokenUsage.isPresent()
                ? OptionalLong.of(tokenUsage.get().total())
                : OptionalLong.empty();
    }
}
