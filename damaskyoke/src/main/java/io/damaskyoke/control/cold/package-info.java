/**
 * Limits the requests that all routers together send to upstreams of low capacity: those that have
 * just started, or may have, and those that declare how many requests per second they take.
 */
package io.damaskyoke.control.cold;
