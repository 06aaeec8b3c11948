/** The client of {@code bin/demo}: plays the platform, the operators and the callers. */
package io.damaskyoke.standins.demo;
