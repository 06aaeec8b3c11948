/** Operators, as peers: tickets, status, time line, metrics and health. */
package io.damaskyoke.operator;
