/**
 * Follows the keys under a prefix of the platform's store, by polling it or a relay, and tracks the
 * staleness of the resulting view.
 */
package io.damaskyoke.follow;
