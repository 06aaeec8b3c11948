/**
 * Distributes the rate and burst of each workspace over the routers, so that all routers together
 * stay within them.
 */
package io.damaskyoke.control.rates;
