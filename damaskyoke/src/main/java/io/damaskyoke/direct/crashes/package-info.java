/**
 * Detects upstreams that crash and the requests and prompt parts that crash them, and keeps these
 * from all upstreams.
 */
package io.damaskyoke.direct.crashes;
