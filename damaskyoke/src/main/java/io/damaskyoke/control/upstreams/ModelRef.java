package io.damaskyoke.control.upstreams;

/**
 * A model, or an adapter of it: {@code ModelRef.parse("cut-sheet/a3")}.
 *
 * @param adapter empty for the model itself
 */
public record ModelRef(String model, String adapter) implements Comparable<ModelRef> {
    /** Reads {@code MODEL} or {@code MODEL/ADAPTER}. */
    public static ModelRef parse(String text) {
        int slash = text.indexOf('/');
        return slash < 0
                ? new ModelRef(text, "")
                : new ModelRef(text.substring(0, slash), text.substring(slash + 1));
    }

    /** True if it names an adapter. */
    public boolean adapted() {
        return !adapter.isEmpty();
    }

    /** The model without its adapter. */
    public ModelRef base() {
        return adapted() ? new ModelRef(model, "") : this;
    }

    @Override
    public int compareTo(ModelRef other) {
        int byModel = model.compareTo(other.model);
        return byModel != 0 ? byModel : adapter.compareTo(other.adapter);
    }

    @Override
    public String toString() {
        return adapted() ? model + "/" + adapter : model;
    }
}
