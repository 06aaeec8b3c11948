package io.damaskyoke.control.direct;

import io.damaskyoke.id.WorkspaceId;
import java.util.Map;
import java.util.Optional;

/**
 * The caller keys of a configuration: {@code keys.workspaceOf("my-own-key")}.
 *
 * <p>A configuration that grants no key and one that does not use keys are two states: the first
 * admits nobody, the second everybody.
 */
public final class CallerKeys {
    /** Requests need no key. */
    public static final CallerKeys NOT_USED = new CallerKeys(Optional.empty());

    private final Optional<Map<String, WorkspaceId>> workspaces;

    private CallerKeys(Optional<Map<String, WorkspaceId>> workspaces) {
        this.workspaces = workspaces;
    }

    /** Returns keys of which each request needs one; none are valid if the map is empty. */
    public static CallerKeys granted(Map<String, WorkspaceId> workspaceByKey) {
        return new CallerKeys(Optional.of(Map.copyOf(workspaceByKey)));
    }

    /** Returns whether a request needs a key. */
    public boolean areUsed() {
        return workspaces.isPresent();
    }

    /** Returns the workspace that the key was granted to; empty if the key is unknown. */
    public Optional<WorkspaceId> workspaceOf(String key) {
        return workspaces.map(byKey -> byKey.get(key));
    }
}
