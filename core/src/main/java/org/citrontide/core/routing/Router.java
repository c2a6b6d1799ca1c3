package org.citrontide.core.routing;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.apache.commons.codec.digest.MurmurHash3;
import org.citrontide.core.membership.Upstream;
import org.citrontide.core.membership.UpstreamId;
import org.citrontide.core.publication.Urgency;

/**
 * Chooses the upstream of one attempt.
 *
 * <p>Invariants: an upstream that was tried before is chosen only if there is no other; the own availability zone goes
 * first, and another zone is used only where the own zone has no upstream left or its better choice is loaded more than
 * {@value #SPILL_LOAD} times its slots and another zone's is at most half as loaded. Keyed requests go to the upstream
 * with the highest rendezvous hash of the key's bucket, so that repeats meet. Not thread-safe; its randomness is passed
 * in.
 */
public final class Router {
    private static final double SPILL_LOAD = 2.0;
    private static final double SPILL_GAIN = 2.0;

    private final String zone;
    private final RandomGenerator random;

    /**
     * Makes a router.
     *
     * @param zone the entry's own availability zone
     * @param random source of the two choices
     */
    public Router(String zone, RandomGenerator random) {
        this.zone = zone;
        this.random = random;
    }

    /**
     * Chooses among upstreams by load.
     *
     * @param accepting upstreams that take work
     * @param tried upstreams that already had an attempt of this request
     * @param urgency class of the request
     * @return the choice, or empty if there is no upstream
     */
    public Optional<Upstream> choose(List<Upstream> accepting, Set<UpstreamId> tried, Urgency urgency) {
        List<Upstream> own = new ArrayList<>();
        List<Upstream> others = new ArrayList<>();
        for (Upstream u : untried(accepting, tried)) {
            (u.vm().zone().equals(zone) ? own : others).add(u);
        }
        Optional<Upstream> near = betterOfTwo(own, urgency);
        if (near.isEmpty()) {
            return betterOfTwo(others, urgency);
        }
        if (near.get().load(urgency) <= SPILL_LOAD) {
            return near;
        }
        return betterOfTwo(others, urgency)
                .filter(far -> far.load(urgency) * SPILL_GAIN <= near.get().load(urgency))
                .or(() -> near);
    }

    /**
     * Chooses the home of an idempotency key's bucket.
     *
     * @param accepting upstreams that take work
     * @param tried upstreams that already had an attempt of this request
     * @param bucket number of the key's bucket
     * @return the choice, or empty if there is no upstream
     */
    public Optional<Upstream> chooseHome(List<Upstream> accepting, Set<UpstreamId> tried, int bucket) {
        return untried(accepting, tried).stream()
                .max(Comparator.comparingLong(u -> rendezvousScore(u.vm().id(), bucket)));
    }

    private Optional<Upstream> betterOfTwo(List<Upstream> list, Urgency urgency) {
        if (list.isEmpty()) {
            return Optional.empty();
        }
        Upstream a = list.get(random.nextInt(list.size()));
        Upstream b = list.get(random.nextInt(list.size()));
        return Optional.of(a.load(urgency) <= b.load(urgency) ? a : b);
    }

    private static List<Upstream> untried(List<Upstream> accepting, Set<UpstreamId> tried) {
        if (tried.isEmpty()) {
            return accepting;
        }
        List<Upstream> fresh =
                accepting.stream().filter(u -> !tried.contains(u.vm().id())).toList();
        return fresh.isEmpty() ? accepting : fresh;
    }

    private static long rendezvousScore(UpstreamId id, int bucket) {
        byte[] bytes = (id + "#" + bucket).getBytes(StandardCharsets.UTF_8);
        return MurmurHash3.hash128x64(bytes)[0];
    }
}
