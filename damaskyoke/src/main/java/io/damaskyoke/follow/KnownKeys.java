package io.damaskyoke.follow;

import io.damaskyoke.platform.KeyValueStore.Change;
import io.damaskyoke.platform.KeyValueStore.Entry;
import io.damaskyoke.platform.KeyValueStore.Listing;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The followed keys as the listener knows them, each with the revision of its last change. */
final class KnownKeys {
    private final Map<String, KnownKey> byKey = new HashMap<>();

    private record KnownKey(long revision, boolean exists) {}

    /** Replaces all keys by those of a full read. */
    void replaceBy(Listing found) {
        byKey.clear();
        found.entries()
                .forEach(entry -> byKey.put(entry.key(), new KnownKey(entry.modRevision(), true)));
    }

    void apply(List<Change> changes) {
        for (Change change : changes) {
            boolean exists = change.entry().isPresent();
            byKey.put(change.key(), new KnownKey(change.revision(), exists));
        }
    }

    /**
     * Returns the changes up to the revision of a listing that lead to it and are not known. The
     * listing may be older than what is known.
     */
    List<Change> missingFrom(Listing found) {
        List<Change> missing = new ArrayList<>();
        Set<String> listed = new HashSet<>();
        for (Entry entry : found.entries()) {
            listed.add(entry.key());
            if (isOlder(entry)) {
                missing.add(new Change(entry.key(), entry.modRevision(), Optional.of(entry)));
            }
        }
        byKey.forEach(
                (key, known) -> {
                    boolean removed = known.exists() && known.revision() <= found.revision();
                    if (removed && !listed.contains(key)) {
                        missing.add(new Change(key, found.revision(), Optional.empty()));
                    }
                });
        return missing;
    }

    /** Forgets the keys that were removed up to this revision; no later listing has them. */
    void forgetRemoved(long upTo) {
        byKey.values().removeIf(known -> !known.exists() && known.revision() <= upTo);
    }

    private boolean isOlder(Entry entry) {
        KnownKey known = byKey.get(entry.key());
        return known == null || known.revision() < entry.modRevision();
    }
}
