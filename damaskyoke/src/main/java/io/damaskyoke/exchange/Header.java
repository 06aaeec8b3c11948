package io.damaskyoke.exchange;

/** One HTTP header as passed between caller and upstream; the name keeps the caller's spelling. */
public record Header(String name, String value) {
    /** Returns true if this is the header {@code other}, ignoring case. */
    public boolean named(String other) {
        return name.equalsIgnoreCase(other);
    }
}
