package io.damaskyoke.control.upstreams;

/**
 * Names a model, or an adapter of a model: {@code ModelRef.parse("cut-sheet/a3")}.
 *
 * @param adapter name of the adapter, empty for the model itself
 */
public record ModelRef(String model, String adapter) implements Comparable<ModelRef> {
    /** Parses {@code MODEL} or {@code MODEL/ADAPTER}. */
    public static ModelRef parse(String text) {
        int slash = text.indexOf('/');
        return slash < 0
                ? new ModelRef(text, "")
                : new ModelRef(text.substring(0, slash), text.substring(slash + 1));
    }

    /** Returns true if an adapter is named. */
    public boolean hasAdapter() {
        return !adapter.isEmpty();
    }

    /** Returns whether this is that model itself, and no adapter of it. */
    public boolean isModel(String name) {
        return !hasAdapter() && model.equals(name);
    }

    /** Returns the model without its adapter. */
    public ModelRef base() {
        return hasAdapter() ? new ModelRef(model, "") : this;
    }

    @Override
    public int compareTo(ModelRef other) {
        int byModel = model.compareTo(other.model);
        return byModel != 0 ? byModel : adapter.compareTo(other.adapter);
    }

    @Override
    public String toString() {
        return hasAdapter() ? model + "/" + adapter : model;
    }
}
