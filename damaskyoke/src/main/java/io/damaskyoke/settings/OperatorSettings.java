package io.damaskyoke.settings;

/** Where operators come in. */
public record OperatorSettings(String host, int port, String token) {

    /** Leaves out the token, as settings end up in logs. */
    @Override
    public String toString() {
        return "OperatorSettings[host=" + host + ", port=" + port + "]";
    }
}
