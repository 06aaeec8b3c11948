package io.damaskyoke.http;

import java.util.Arrays;

/** The requests that a connection has carried. */
final class CarriedRequests {
    /** A connection is closed after this many requests, as it remembers the id of each. */
    private static final int MAX_IDS = 256;

    private static final int INITIAL_IDS = 8;

    // Different ids may have equal hashes; the only effect is that a request takes another
    // connection.
    private int[] hashes = new int[INITIAL_IDS];
    private int count;

    /** Returns true if the response to the request could be told from those to earlier ones. */
    boolean mayAdd(ResponseMatch match) {
        if (count == 0) {
            return true;
        }
        return !match.needsOwnConnection() && !isFull() && !contains(match.id().hashCode());
    }

    void add(ResponseMatch match) {
        if (count == hashes.length) {
            hashes = Arrays.copyOf(hashes, 2 * count);
        }
        hashes[count++] = match.id().hashCode();
    }

    boolean isFull() {
        return count >= MAX_IDS;
    }

    int count() {
        return count;
    }

    private boolean contains(int hash) {
        for (int each = 0; each < count; each++) {
            if (hashes[each] == hash) {
                return true;
            }
        }
        return false;
    }
}
