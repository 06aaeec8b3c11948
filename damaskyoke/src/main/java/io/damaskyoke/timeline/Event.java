package io.damaskyoke.timeline;

import java.util.Map;

/**
 * One thing that happened at one process.
 *
 * @param at hybrid logical time: sorts after everything that the process had heard of by then
 * @param process the VM of the process
 * @param type what happened
 * @param subject what it happened to: a request id, model, ticket, VM, workspace ...
 * @param details more of it, by name; never a caller key
 */
public record Event(
        HybridTime at,
        String process,
        EventType type,
        String subject,
        Map<String, String> details) {
    /** Copies the details. */
    public Event {
        details = Map.copyOf(details);
    }
}
