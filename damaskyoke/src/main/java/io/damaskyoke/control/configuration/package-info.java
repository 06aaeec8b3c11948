/**
 * The configuration set by operators: tickets, the log that stores them, and the configuration that
 * results from them.
 */
package io.damaskyoke.control.configuration;
