package org.citrontide.fakes.engine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A cache of prompt blocks with a log of insertions and evictions. A block is identified by the hash of the prompt up
 * to its end.
 *
 * <p>Invariant: the cache never holds more than the maximum number of blocks; it evicts the least recently used block
 * first. Thread-safe.
 */
final class PrefixCache {
    private static final int BLOCK_CHARS = 64;
    private static final int MAX_EVENTS = 1000;

    /** An insertion or eviction. Only the last events are kept; a reader detects lost events by gaps in the numbers. */
    record Event(long number, String kind, int block) {}

    private final int maxBlocks;
    private final LinkedHashMap<Integer, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);
    private final List<Event> events = new ArrayList<>();
    private long nextNumber = 1;

    PrefixCache(int maxBlocks) {
        this.maxBlocks = maxBlocks;
    }

    /** Inserts the blocks of a prompt and returns the ratio of blocks in its longest cached prefix, from 0 to 1. */
    synchronized double insert(String prompt) {
        int cachedCount = 0;
        int blockCount = 0;
        int hash = 0;
        boolean isPrefixCached = true;
        for (int i = 0; i + BLOCK_CHARS <= prompt.length(); i += BLOCK_CHARS) {
            hash = 31 * hash + prompt.substring(i, i + BLOCK_CHARS).hashCode();
            blockCount++;
            isPrefixCached &= blocks.get(hash) != null;
            cachedCount += isPrefixCached ? 1 : 0;
            insertBlock(hash);
        }
        return blockCount == 0 ? 0 : (double) cachedCount / blockCount;
    }

    synchronized List<Event> eventsAfter(long number) {
        return events.stream().filter(e -> e.number() > number).toList();
    }

    private void insertBlock(int hash) {
        if (blocks.put(hash, true) == null) {
            addEvent("stored", hash);
        }
        if (blocks.size() > maxBlocks) {
            Map.Entry<Integer, Boolean> evicted = blocks.pollFirstEntry();
            addEvent("removed", evicted.getKey());
        }
    }

    private void addEvent(String kind, int block) {
        events.add(new Event(nextNumber++, kind, block));
        if (events.size() > MAX_EVENTS) {
            events.removeFirst();
        }
    }
}
