/** Lets requests in by their workspace's rate, over all routers together. */
package io.damaskyoke.rates;
