package io.damaskyoke.control;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A map that evicts the least recently used entry once it exceeds its capacity: {@code new
 * LruMap<>(4_096)}.
 */
public final class LruMap<K, V> extends LinkedHashMap<K, V> {
    private static final long serialVersionUID = 1;
    private static final int INITIAL_CAPACITY = 16;
    private static final float LOAD_FACTOR = 0.75f;

    private final int maxEntries;

    /** Creates an empty map that keeps at most this many entries. */
    public LruMap(int maxEntries) {
        super(INITIAL_CAPACITY, LOAD_FACTOR, true);
        this.maxEntries = maxEntries;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > maxEntries;
    }
}
