package io.damaskyoke.control.direct;

import io.damaskyoke.control.configuration.Workspace;
import java.util.OptionalInt;

/**
 * The settings of a workspace for routers that reach upstreams themselves.
 *
 * @param name what operators call it, which may have any characters
 * @param workspace the rate limit and burst in tokens; a rate of 0 means no limit
 * @param priority overrides the priority of a route, if set
 * @param defaultTokens number of tokens for which a request counts that does not state any
 * @param allowedRegions the regions in which its requests may be served
 */
public record WorkspaceSpec(
        String name,
        Workspace workspace,
        OptionalInt priority,
        long defaultTokens,
        AllowedRegions allowedRegions) {
    /** Returns true if the workspace has a rate limit. */
    public boolean hasRateLimit() {
        return workspace.rate() > 0;
    }
}
