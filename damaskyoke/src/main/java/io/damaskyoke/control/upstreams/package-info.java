/**
 * The known upstreams: their entries, health and load with the age of each, and the choice of an
 * upstream for a request.
 */
package io.damaskyoke.control.upstreams;
