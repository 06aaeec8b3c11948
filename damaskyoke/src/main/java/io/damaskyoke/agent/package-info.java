/** The agent: the only process that talks to its upstream, put together. */
package io.damaskyoke.agent;
