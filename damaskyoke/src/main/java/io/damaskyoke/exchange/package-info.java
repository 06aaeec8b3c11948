/** A request and its answer, as passed from the caller side through the peers to an upstream. */
package io.damaskyoke.exchange;
