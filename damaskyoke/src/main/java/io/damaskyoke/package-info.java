/** A serving system for rarely used models: routers, agents and the decisions they share. */
package io.damaskyoke;
