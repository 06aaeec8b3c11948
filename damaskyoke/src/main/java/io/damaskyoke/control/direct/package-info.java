/**
 * The operators' configuration for routers that reach upstreams themselves: routes, services,
 * models and workspaces, as immutable values.
 */
package io.damaskyoke.control.direct;
