package org.citrontide.fakes.engine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The blocks of prompts that an engine remembers, with the events of their coming and going. Safe for use by many
 * threads.
 *
 * <p>Invariant: at most the set number of blocks are kept; the least recently used goes first.
 */
final class PrefixCache {
    private static final int BLOCK_CHARS = 64;
    private static final int MAX_EVENTS = 1000;

    /** One event; a reader sees gaps in the numbers where events were lost. */
    record Event(long number, String kind, int block) {}

    private final int maxBlocks;
    private final LinkedHashMap<Integer, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);
    private final List<Event> events = new ArrayList<>();
    private long nextNumber = 1;

    PrefixCache(int maxBlocks) {
        this.maxBlocks = maxBlocks;
    }

    /** Takes a prompt in and returns the part of its blocks that was remembered, from 0 to 1. */
    synchronized double admit(String prompt) {
        int hits = 0;
        int count = 0;
        int hash = 0;
        boolean prefix = true;
        for (int i = 0; i + BLOCK_CHARS <= prompt.length(); i += BLOCK_CHARS) {
            hash = 31 * hash + prompt.substring(i, i + BLOCK_CHARS).hashCode();
            count++;
            prefix &= blocks.get(hash) != null;
            hits += prefix ? 1 : 0;
            store(hash);
        }
        return count == 0 ? 0 : (double) hits / count;
    }

    synchronized List<Event> after(long number) {
        return events.stream().filter(e -> e.number() > number).toList();
    }

    private void store(int hash) {
        if (blocks.put(hash, true) == null) {
            event("stored", hash);
        }
        if (blocks.size() > maxBlocks) {
            Map.Entry<Integer, Boolean> oldest = blocks.pollFirstEntry();
            event("removed", oldest.getKey());
        }
    }

    private void event(String kind, int block) {
        events.add(new Event(nextNumber++, kind, block));
        if (events.size() > MAX_EVENTS) {
            events.removeFirst();
        }
    }
}
