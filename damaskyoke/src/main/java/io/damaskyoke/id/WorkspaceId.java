package io.damaskyoke.id;

/**
 * The workspace for which a request runs and that its rate is charged to: {@code
 * WorkspaceId.of("kitchens")}.
 */
public record WorkspaceId(String value) implements Comparable<WorkspaceId> {
    /**
     * Refuses an empty or overlong value, or one with characters outside {@code [A-Za-z0-9._:/%-]}.
     */
    public WorkspaceId {
        Ids.checkEscaped("workspace id", value);
    }

    /** The id that operators chose; it has no characters outside {@code [A-Za-z0-9._:/-]}. */
    public static WorkspaceId of(String value) {
        Ids.check("workspace id", value);
        return new WorkspaceId(value);
    }

    /**
     * The id of a workspace whose name may have any characters: the name itself where it could be
     * an id, and else an escaped form that no other name has.
     */
    public static WorkspaceId ofName(String name) {
        return new WorkspaceId(EscapedName.of(name));
    }

    @Override
    public int compareTo(WorkspaceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
