package io.damaskyoke.control.direct;

/**
 * A part of a configuration that can't be read. The rest is in force without it.
 *
 * @param path where it stands: {@code routes[3]}
 * @param reason what is wrong with it
 */
public record UnreadablePart(String path, String reason) {}
