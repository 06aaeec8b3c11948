/** A request and its answer, as they pass from the caller side through the peers to an upstream. */
package io.damaskyoke.exchange;
