package io.damaskyoke.control.configuration;

import io.damaskyoke.id.WorkspaceId;

/**
 * A tenant with its rate limit and its weight in fair queueing.
 *
 * @param id the name of the workspace
 * @param rate the rate limit in tokens a second over all VMs together
 * @param burst the most tokens that may be taken at once over all VMs together
 * @param weight its share in fair queueing, relative to the weights of the other workspaces
 */
public record Workspace(WorkspaceId id, double rate, double burst, double weight) {}
