package io.damaskyoke.control.loads;

import java.util.HashSet;
import java.util.Set;

/** The copies of weights that one upstream keeps in its main memory and on its disk. */
final class ModelCopies {
    private final Set<String> inMemory = new HashSet<>();
    private final Set<String> onDisk = new HashSet<>();

    /** Replaces what is known; a source that names no copy at all says nothing of them. */
    void update(Set<String> memory, Set<String> disk) {
        if (!memory.isEmpty() || !disk.isEmpty()) {
            inMemory.clear();
            onDisk.clear();
            inMemory.addAll(memory);
            onDisk.addAll(disk);
        }
    }

    /** Records a load, which leaves copies in both. */
    void add(String model) {
        inMemory.add(model);
        onDisk.add(model);
    }

    boolean has(String model) {
        return inMemory.contains(model) || onDisk.contains(model);
    }

    /** Returns the models that have a copy. */
    Set<String> all() {
        Set<String> all = new HashSet<>(onDisk);
        all.addAll(inMemory);
        return all;
    }

    /** Returns where the model would be loaded from. */
    LoadSource source(String model) {
        if (inMemory.contains(model)) {
            return LoadSource.MEMORY;
        }
        return onDisk.contains(model) ? LoadSource.DISK : LoadSource.STORE;
    }
}
