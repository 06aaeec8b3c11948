/**
 * Small stand-ins for the platform and the upstreams: a key-value service, a list of VMs, a weight
 * store, a model engine and a plain service.
 *
 * <p>Each one listens on the loopback address, can be started in a test or from the command line,
 * and can be told to fail in the ways that the real thing fails. They keep everything in memory.
 */
package io.damaskyoke.standins;
