package io.damaskyoke.exchange;

/** One HTTP header as passed between caller and upstream; the name keeps the caller's spelling. */
public record Header(String name, String value) {
    /** True if this is the header {@code other}, in any spelling of upper and lower case. */
    public boolean named(String other) {
        return name.equalsIgnoreCase(other);
    }
}
