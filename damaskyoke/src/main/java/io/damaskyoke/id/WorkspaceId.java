package io.damaskyoke.id;

/** The workspace for which a request runs and that its rate is charged to. */
public record WorkspaceId(String value) implements Comparable<WorkspaceId> {
    /**
     * Refuses an empty or overlong value, or one with characters outside {@code [A-Za-z0-9._:/-]}.
     */
    public WorkspaceId {
        Ids.check("workspace id", value);
    }

    /** Short for the constructor: {@code WorkspaceId.of("kitchens")}. */
    public static WorkspaceId of(String value) {
        return new WorkspaceId(value);
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
