package org.citrontide.core.membership;

import java.nio.charset.StandardCharsets;
import java.util.Collection;

import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Chooses the processes of a zone that watch the platform's service for all others.
 *
 * <p>Every process computes the same choice from the same list; while lists differ there may be a watcher more or one
 * less, which costs calls or seconds and nothing else. Stateless and safe for use by many threads.
 */
public final class WatcherChoice {
    /** Watchers in each zone. */
    public static final int WATCHERS_PER_ZONE = 2;

    private WatcherChoice() {}

    /**
     * Says whether a VM is one of its zone's watchers.
     *
     * @param vm name of the VM
     * @param candidates names of all VMs in the zone that may watch
     * @return true if fewer than {@value #WATCHERS_PER_ZONE} other candidates have a higher hash
     */
    public static boolean isWatcher(String vm, Collection<String> candidates) {
        if (!candidates.contains(vm)) {
            return false;
        }
        long own = score(vm);
        long higher = candidates.stream().filter(c -> score(c) > own).count();
        return higher < WATCHERS_PER_ZONE;
    }

    private static long score(String vm) {
        return MurmurHash3.hash128x64(vm.getBytes(StandardCharsets.UTF_8))[0];
    }
}
