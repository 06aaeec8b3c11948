package io.damaskyoke.control;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A map that evicts the least recently used entry once it exceeds its capacity: {@code new
 * LruMap<>(4_096)}.
 */
public final class LruMap<K, V> extends LinkedHashMap<K, V> {
    private static final long serialVersionUID = 1;
    private static final int CAPACITY = 16;
    private static final float LOAD_FACTOR = 0.75f;

    private final int most;

    /** Creates an empty map that keeps at most this many entries. */
    public LruMap(int most) {
        super(CAPACITY, LOAD_FACTOR, true);
        this.most = most;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > most;
    }
}
