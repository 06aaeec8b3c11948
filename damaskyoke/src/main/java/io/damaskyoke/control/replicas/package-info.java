/**
 * What an agent decides about its engine's memory: which models to load and unload, and when a
 * request may go ahead. Starts at {@link io.damaskyoke.control.replicas.ReplicaHolder}.
 */
package io.damaskyoke.control.replicas;
