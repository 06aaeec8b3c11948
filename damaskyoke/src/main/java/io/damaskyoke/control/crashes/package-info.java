/**
 * Poison requests and prompt parts: finds what crashes upstreams, a request that is sent again or a
 * part that prompts share, by what several crashes have in common, and decides how long it is
 * quarantined. The package uses no sockets and no threads; each call gets the time of a clock.
 */
package io.damaskyoke.control.crashes;
