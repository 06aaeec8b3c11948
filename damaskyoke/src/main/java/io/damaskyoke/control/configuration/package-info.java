/** What operators set: tickets, the log they are kept in, and the configuration they add up to. */
package io.damaskyoke.control.configuration;
