package io.damaskyoke.control.direct;

/**
 * The requests that a route is for.
 *
 * @param pathPrefix the prefix of their paths, which begins and ends with a slash
 */
public record RoutePath(String host, String pathPrefix) {}
