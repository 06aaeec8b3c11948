/**
 * Decides which VM may hold a replica of which model. Grants are durable entries in the store, are
 * changed by compare-and-swap only, and are used by the VMs that hold them without asking anyone.
 */
package io.damaskyoke.control.placement;
