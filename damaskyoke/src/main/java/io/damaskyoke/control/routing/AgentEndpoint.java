package io.damaskyoke.control.routing;

import io.damaskyoke.id.AvailabilityZone;
import io.damaskyoke.id.PoolName;
import io.damaskyoke.id.VmId;

/**
 * The network endpoint of an agent, with its VM, pool and availability zone.
 *
 * @param vm the VM that the agent runs on
 * @param pool the pool of its upstream
 * @param zone the availability zone of the VM
 * @param host the host name or address on which the agent accepts peer connections
 * @param port the TCP port on that host
 */
public record AgentEndpoint(VmId vm, PoolName pool, AvailabilityZone zone, String host, int port) {}
