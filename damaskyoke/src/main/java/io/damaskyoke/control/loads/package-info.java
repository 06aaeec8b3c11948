/**
 * What model upstreams load and unload, decided by one router at a time for all of them: which
 * model is wanted where, what makes room for it, and in which order the weight store is used.
 */
package io.damaskyoke.control.loads;
