/**
 * Which upstreams there are, what is known of each and how old that is, and which one a request
 * goes to.
 */
package io.damaskyoke.control.upstreams;
