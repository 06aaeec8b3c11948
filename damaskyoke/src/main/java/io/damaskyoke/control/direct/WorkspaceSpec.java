package io.damaskyoke.control.direct;

import io.damaskyoke.control.configuration.Workspace;
import java.util.OptionalInt;

/**
 * The settings of a workspace for routers that reach upstreams themselves.
 *
 * @param rated the rate limit and burst in tokens; a rate of 0 means no limit
 * @param priority overrides the priority of a route, if set
 * @param plainTokens number of tokens for which a request counts that does not state any
 * @param homes the regions in which its requests may be served
 */
public record WorkspaceSpec(Workspace rated, OptionalInt priority, long plainTokens, Homes homes) {
    /** Returns true if the workspace has a rate limit. */
    public boolean limited() {
        return rated.rate() > 0;
    }
}
