package org.citrontide.core.membership;

import java.nio.charset.StandardCharsets;
import java.util.Collection;

import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Selects the processes of a zone that watch the platform's store on behalf of all others.
 *
 * <p>Every process computes the same selection from the same list. While lists differ, there may be one watcher too
 * many or too few, which costs only additional calls or a delay of seconds. Stateless and safe for use by multiple
 * threads.
 */
public final class WatcherSelector {
    /** Number of watchers in each zone. */
    public static final int WATCHERS_PER_ZONE = 2;

    private WatcherSelector() {}

    /**
     * Returns whether a VM is one of the watchers of its zone.
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
