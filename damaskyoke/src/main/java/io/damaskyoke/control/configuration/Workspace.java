package io.damaskyoke.control.configuration;

import io.damaskyoke.id.WorkspaceId;

/**
 * A tenant and its share of the fleet.
 *
 * @param id its name
 * @param rate tokens a second over all VMs together
 * @param burst tokens that may be taken at once over all VMs together
 * @param weight its part in fair waiting, against the other workspaces' weights
 */
public record Workspace(WorkspaceId id, double rate, double burst, double weight) {}
