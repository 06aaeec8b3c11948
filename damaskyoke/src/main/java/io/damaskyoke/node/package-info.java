/** What a router and an agent have in common: one process of the system, put together. */
package io.damaskyoke.node;
