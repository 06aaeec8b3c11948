/** Queueing, fair scheduling and refusal of requests at an agent. */
package io.damaskyoke.control.serving;
