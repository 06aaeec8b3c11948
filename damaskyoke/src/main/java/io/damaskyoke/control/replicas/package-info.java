/**
 * Manages the memory of an agent's engine: which models to load and unload, and when a request may
 * be sent. The entry point is {@link io.damaskyoke.control.replicas.ReplicaManager}.
 */
package io.damaskyoke.control.replicas;
