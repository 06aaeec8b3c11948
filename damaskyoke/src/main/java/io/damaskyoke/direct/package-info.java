/**
 * A router that connects to upstreams itself, with no agent beside them. It checks requests against
 * the operators' configuration, queues them if they must wait, and sends each to the upstream
 * expected to answer first.
 *
 * <p>The names on the wire and in the store are known only to a {@link Dialect}, which the
 * deployment provides.
 */
package io.damaskyoke.direct;
