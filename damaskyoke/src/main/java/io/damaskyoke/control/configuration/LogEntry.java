package io.damaskyoke.control.configuration;

/**
 * One accepted ticket as it is stored in the log.
 *
 * @param sequence the sequence number of the entry, from 1 on without gaps
 * @param value the ticket's stored form, see {@link Ticket#toJson()}
 */
public record LogEntry(long sequence, byte[] value) {}
