/** Benchmarks of each decision machine at today's size and at the design size. */
package io.damaskyoke.lab.bench;
