/** The time line: typed events of every process, in an order that keeps cause before effect. */
package io.damaskyoke.timeline;
