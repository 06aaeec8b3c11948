/** Who may spend how much of a workspace's rate and burst, so that all routers together keep it. */
package io.damaskyoke.control.rates;
