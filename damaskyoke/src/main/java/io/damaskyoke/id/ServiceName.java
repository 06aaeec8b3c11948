package io.damaskyoke.id;

/** The name of a plain service, as in {@code /v1/services/NAME/...}. */
public record ServiceName(String value) implements Comparable<ServiceName> {
    /**
     * Refuses an empty or overlong value, or one with characters outside {@code [A-Za-z0-9._:/-]}.
     */
    public ServiceName {
        Ids.check("service name", value);
    }

    /** Short for the constructor: {@code ServiceName.of("payments")}. */
    public static ServiceName of(String value) {
        return new ServiceName(value);
    }

    @Override
    public int compareTo(ServiceName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
