/** Counters and histograms of a process, and their Prometheus text form. */
package io.damaskyoke.metrics;
