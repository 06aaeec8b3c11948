/** Links to the other routers and agents, and the exchanges of requests and answers over them. */
package io.damaskyoke.peer;
