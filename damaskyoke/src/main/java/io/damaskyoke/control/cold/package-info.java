/**
 * How much is sent to upstreams that bear little, from all routers together: those that have just
 * started, or may have, and those that name how many requests a second they take.
 */
package io.damaskyoke.control.cold;
