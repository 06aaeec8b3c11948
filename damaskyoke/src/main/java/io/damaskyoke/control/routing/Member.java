package io.damaskyoke.control.routing;

import io.damaskyoke.id.AvailabilityZone;
import io.damaskyoke.id.PoolName;
import io.damaskyoke.id.VmId;

/**
 * An agent that requests may be sent to.
 *
 * @param vm the VM it is on
 * @param pool the pool of its upstream
 * @param zone where it is
 * @param host where it listens for its peers
 * @param port the port there
 */
public record Member(VmId vm, PoolName pool, AvailabilityZone zone, String host, int port) {}
