package io.damaskyoke.id;

/** The name by which callers address a model or an adapter. */
public record ModelName(String value) implements Comparable<ModelName> {
    /**
     * Refuses an empty or overlong value, or one with characters outside {@code [A-Za-z0-9._:/-]}.
     */
    public ModelName {
        Ids.check("model name", value);
    }

    /** Short for the constructor: {@code ModelName.of("cut-sheet")}. */
    public static ModelName of(String value) {
        return new ModelName(value);
    }

    @Override
    public int compareTo(ModelName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
