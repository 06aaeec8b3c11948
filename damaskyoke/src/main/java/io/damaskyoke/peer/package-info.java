/** The other routers and agents, as peers: links, frames and exchanges over them. */
package io.damaskyoke.peer;
