package io.damaskyoke.http;

import java.util.Arrays;

/** The requests that a connection has carried, of one kind of {@link ResponseMatch}. */
final class CarriedRequests {
    /** A connection that has carried so many is closed, which bounds what it remembers. */
    private static final int MAX_IDS = 256;

    private static final int INITIAL_IDS = 8;

    // Ids of equal hash count as the same one; then a request only goes on another connection.
    private int[] hashes = new int[INITIAL_IDS];
    private int idCount;
    private int requestCount;
    private boolean byId;

    /** Returns true if the response to the request could be told from those to earlier ones. */
    boolean mayAdd(ResponseMatch match) {
        if (requestCount == 0) {
            return true;
        }
        if (match.needsOwnConnection() || match.isById() != byId || isFull()) {
            return false;
        }
        return !byId || !contains(match.id().hashCode());
    }

    void add(ResponseMatch match) {
        requestCount++;
        byId = match.isById();
        if (byId) {
            if (idCount == hashes.length) {
                hashes = Arrays.copyOf(hashes, 2 * idCount);
            }
            hashes[idCount++] = match.id().hashCode();
        }
    }

    boolean isFull() {
        return idCount >= MAX_IDS;
    }

    int count() {
        return requestCount;
    }

    private boolean contains(int hash) {
        for (int each = 0; each < idCount; each++) {
            if (hashes[each] == hash) {
                return true;
            }
        }
        return false;
    }
}
