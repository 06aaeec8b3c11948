package io.damaskyoke.settings;

/** Where operators come in. */
public record OperatorSettings(String host, int port, String token) {}
