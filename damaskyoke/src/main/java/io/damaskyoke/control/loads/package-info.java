/**
 * Planning of model loads and unloads, done by one router at a time for all upstreams: which model
 * is needed on which upstream, what is evicted to make room for it, and in which order the weight
 * store is used.
 */
package io.damaskyoke.control.loads;
