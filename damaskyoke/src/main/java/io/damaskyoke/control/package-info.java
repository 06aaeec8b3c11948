/** State machine interface, control thread and clocks that all control packages use. */
package io.damaskyoke.control;
