package io.damaskyoke.direct;

import io.damaskyoke.control.upstreams.ModelRef;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * What a caller's headers say.
 *
 * @param attempt names this try of the caller; a repeat has another name; empty if there is none
 * @param host that the route is picked by
 * @param key the caller key
 * @param model what is asked for at a model service
 * @param tokens of prompt and answer together, as the caller puts it
 * @param deadline how long the caller waits, from now
 * @param lastEvent the last event of a stream that the caller has seen, if it resumes one
 */
public record CallerRequest(
        String attempt,
        String host,
        Optional<String> key,
        Optional<ModelRef> model,
        OptionalLong tokens,
        Optional<Duration> deadline,
        Optional<String> lastEvent) {}
