package io.damaskyoke.control.direct;

import io.damaskyoke.id.WorkspaceId;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The caller keys of a configuration: {@code keys.workspaceOf("my-own-key")}.
 *
 * <p>A configuration that grants no key and one that does not use keys are two states: the first
 * admits nobody, the second everybody.
 */
public final class CallerKeys {
    /** Requests need no key. */
    public static final CallerKeys NOT_USED = new CallerKeys(Optional.empty(), Set.of());

    private final Optional<Map<String, WorkspaceId>> workspaces;
    private final Set<String> unreadable;

    private CallerKeys(Optional<Map<String, WorkspaceId>> workspaces, Set<String> unreadable) {
        this.workspaces = workspaces;
        this.unreadable = unreadable;
    }

    /**
     * Returns keys of which each request needs one; none are valid if the map is empty.
     *
     * @param unreadable keys of workspaces that can't be read; they are valid for no other either
     */
    public static CallerKeys granted(
            Map<String, WorkspaceId> workspaceByKey, Set<String> unreadable) {
        return new CallerKeys(Optional.of(Map.copyOf(workspaceByKey)), Set.copyOf(unreadable));
    }

    /** Returns whether a request needs a key. */
    public boolean areUsed() {
        return workspaces.isPresent();
    }

    /** Returns the workspace that the key was granted to; empty if the key is not valid. */
    public Optional<WorkspaceId> workspaceOf(String key) {
        return isUnreadable(key) ? Optional.empty() : workspaces.map(byKey -> byKey.get(key));
    }

    /** Returns whether the key was granted to a workspace that can't be read. */
    public boolean isUnreadable(String key) {
        return unreadable.contains(key);
    }
}
