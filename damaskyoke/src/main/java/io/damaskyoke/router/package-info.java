/** The router: everything between callers and agents, put together. */
package io.damaskyoke.router;
