/**
 * What upstreams say of themselves in their answers that closes them to new requests: pauses and
 * departures.
 */
package io.damaskyoke.control.notices;
