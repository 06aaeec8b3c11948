package io.damaskyoke.control.configuration;

/**
 * One accepted ticket as it stands in the log.
 *
 * @param sequence its place, from 1 on without gaps
 * @param value the ticket's stored form, see {@link Ticket#toJson()}
 */
public record LogEntry(long sequence, byte[] value) {}
