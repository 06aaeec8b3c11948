/**
 * Poison requests: detects the requests that crash upstreams, by what several crashes have in
 * common, and decides how long they are quarantined. The package uses no sockets and no threads;
 * each call gets the time of a clock.
 */
package io.damaskyoke.control.crashes;
