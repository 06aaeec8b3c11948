/**
 * Decides which processes read the configuration from the store, and from which of them the others
 * get it.
 */
package io.damaskyoke.control.relay;
