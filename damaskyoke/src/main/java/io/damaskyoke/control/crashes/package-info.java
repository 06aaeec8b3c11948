/**
 * Requests under which upstreams end: which they are, by what several ends have in common, and how
 * long they are kept from all upstreams. No sockets and no threads; a clock's time comes with each
 * call.
 */
package io.damaskyoke.control.crashes;
