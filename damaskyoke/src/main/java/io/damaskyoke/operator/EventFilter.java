package io.damaskyoke.operator;

import io.damaskyoke.operator.OperatorException.Code;
import io.damaskyoke.timeline.Event;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Which events an operator wants, from {@code ?request=&workspace=&model=&vm=&since=}. An event
 * belongs to a request, workspace or model if that is its subject or the detail of that name; to a
 * VM also if it happened there, and a request's target counts as its model. {@code since} is in
 * milliseconds since 1970.
 */
final class EventFilter implements Predicate<Event> {
    private static final String VM = "vm";
    private static final String MODEL = "model";
    private static final String TARGET = "target";
    private static final String SINCE = "since";
    private static final Set<String> NAMES = Set.of("request", "workspace", MODEL, VM, SINCE);

    private final Map<String, String> wanted;
    private final long since;

    private EventFilter(Map<String, String> wanted, long since) {
        this.wanted = wanted;
        this.since = since;
    }

    static EventFilter of(Map<String, String> query) {
        for (String name : query.keySet()) {
            if (!NAMES.contains(name)) {
                throw new OperatorException(
                        Code.BAD_REQUEST, name + " is not a filter; there are " + NAMES);
            }
        }
        return new EventFilter(query, since(Optional.ofNullable(query.get(SINCE))));
    }

    @Override
    public boolean test(Event event) {
        return event.at().millis() >= since
                && wanted.entrySet().stream()
                        .filter(entry -> !entry.getKey().equals(SINCE))
                        .allMatch(entry -> matches(event, entry.getKey(), entry.getValue()));
    }

    private static boolean matches(Event event, String name, String value) {
        return event.subject().equals(value)
                || value.equals(event.details().get(name))
                || (name.equals(VM) && event.process().equals(value))
                || (name.equals(MODEL) && value.equals(event.details().get(TARGET)));
    }

    private static long since(Optional<String> text) {
        try {
            return text.map(Long::parseLong).orElse(0L);
        } catch (NumberFormatException e) {
            throw new OperatorException(
                    Code.BAD_REQUEST, "since must be in milliseconds since 1970", e);
        }
    }
}
