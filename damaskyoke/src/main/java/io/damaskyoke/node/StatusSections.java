package io.damaskyoke.node;

import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/**
 * What the parts of a process add to its status: {@code sections.add("rights", placement::status)}.
 * Thread-safe.
 */
public final class StatusSections {
    private final Map<String, Supplier<?>> sections = new ConcurrentSkipListMap<>();

    /**
     * Adds a section or replaces the one of that name.
     *
     * @param value anything that Jackson writes, never null; read on the control thread
     */
    public void add(String name, Supplier<?> value) {
        sections.put(Objects.requireNonNull(name, "name"), Objects.requireNonNull(value, "value"));
    }

    /** What the sections hold now; control thread only. */
    public Map<String, Object> read() {
        return sections.entrySet().stream()
                .collect(Collectors.toMap(Map.Entry::getKey, section -> section.getValue().get()));
    }
}
