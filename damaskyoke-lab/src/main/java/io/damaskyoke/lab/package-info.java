/** Measurements: the real decision machines on a clock of their own, beside naive versions. */
package io.damaskyoke.lab;
