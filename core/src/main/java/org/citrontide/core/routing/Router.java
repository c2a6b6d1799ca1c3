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
 * <p>Invariants: an upstream that was already tried is chosen only if there is no other. The entry's own availability
 * zone is preferred: another zone is used only if the own zone has no upstream left, or if the better of two random
 * upstreams has a load above {@value #SPILL_LOAD} per slot in the own zone and at most half of that load in the other
 * zones. Requests with an idempotency key go to the upstream with the highest rendezvous hash of the key's bucket, so
 * that requests with the same key reach the same upstream. Not thread-safe; the source of randomness is passed in.
 */
public final class Router {
    private static final double SPILL_LOAD = 2.0;
    private static final double SPILL_GAIN = 2.0;

    private final String zone;
    private final RandomGenerator random;

    /**
     * Creates a router.
     *
     * @param zone the entry's own availability zone
     * @param random source of randomness for choosing the better of two random upstreams
     */
    public Router(String zone, RandomGenerator random) {
        this.zone = zone;
        this.random = random;
    }

    /**
     * Chooses an upstream by load, as the better of two random ones.
     *
     * @param accepting upstreams that accept new requests
     * @param tried upstreams to which an attempt of this request was already sent
     * @param urgency urgency class of the request
     * @return the chosen upstream, or empty if there is none
     */
    public Optional<Upstream> choose(List<Upstream> accepting, Set<UpstreamId> tried, Urgency urgency) {
        List<Upstream> own = new ArrayList<>();
        List<Upstream> others = new ArrayList<>();
        for (Upstream u : untried(accepting, tried)) {
            (u.vm().zone().equals(zone) ? own : others).add(u);
        }
        Optional<Upstream> local = betterOfTwo(own, urgency);
        if (local.isEmpty()) {
            return betterOfTwo(others, urgency);
        }
        if (local.get().load(urgency) <= SPILL_LOAD) {
            return local;
        }
        return betterOfTwo(others, urgency)
                .filter(remote ->
                        remote.load(urgency) * SPILL_GAIN <= local.get().load(urgency))
                .or(() -> local);
    }

    /**
     * Chooses the upstream for the bucket of an idempotency key.
     *
     * @param accepting upstreams that accept new requests
     * @param tried upstreams to which an attempt of this request was already sent
     * @param bucket number of the key's bucket
     * @return the chosen upstream, or empty if there is none
     */
    public Optional<Upstream> chooseForBucket(List<Upstream> accepting, Set<UpstreamId> tried, int bucket) {
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
