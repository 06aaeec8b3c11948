/**
 * Which VM may hold a replica of which model: durable rights in the store, changed by compare and
 * swap only, and used by their holders without asking anybody.
 */
package io.damaskyoke.control.placement;
