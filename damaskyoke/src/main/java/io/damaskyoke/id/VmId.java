package io.damaskyoke.id;

/** The name of a VM in the platform's list, unique in a deployment. */
public record VmId(String value) implements Comparable<VmId> {
    /**
     * Refuses an empty or overlong value, or one with characters outside {@code [A-Za-z0-9._:/-]}.
     */
    public VmId {
        Ids.check("VM id", value);
    }

    /** Short for the constructor: {@code VmId.of("router-1")}. */
    public static VmId of(String value) {
        return new VmId(value);
    }

    @Override
    public int compareTo(VmId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
