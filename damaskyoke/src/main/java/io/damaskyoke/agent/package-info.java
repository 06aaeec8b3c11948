/** The agent process: receives requests from routers and runs them at its one upstream. */
package io.damaskyoke.agent;
