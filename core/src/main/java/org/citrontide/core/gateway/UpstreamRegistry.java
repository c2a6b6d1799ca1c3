package org.citrontide.core.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;

import org.citrontide.core.backoff.UpstreamBackoffs;
import org.citrontide.core.routes.ListedUpstream;

/**
 * A registry of the upstreams of one gateway, by identity and by service.
 *
 * <p>Invariant: the recorded state of an upstream is discarded when it restarts, even under the same identity. Not
 * thread-safe.
 */
public final class UpstreamRegistry {
    private final Map<String, UpstreamState> byId = new TreeMap<>();
    private final Map<String, List<UpstreamState>> byService = new HashMap<>();
    private final UpstreamBackoffs backoffs = new UpstreamBackoffs();

    /**
     * Replaces the list of upstreams and keeps the state of those that have not restarted.
     *
     * @param list all usable upstreams
     * @param nowNanos monotonic time in ns
     */
    public void replaceAll(List<ListedUpstream> list, long nowNanos) {
        Set<String> present = new HashSet<>();
        for (ListedUpstream l : list) {
            present.add(l.id());
            UpstreamState known = byId.get(l.id());
            if (known != null && known.entry().isSameInstance(l)) {
                known.updateEntry(l);
            } else {
                UpstreamState added = new UpstreamState(l, nowNanos);
                backoffs.endNanos(l).ifPresent(added::setBackoffEnd);
                byId.put(l.id(), added);
            }
        }
        byId.keySet().retainAll(present);
        byService.clear();
        byId.values()
                .forEach(u -> byService
                        .computeIfAbsent(u.entry().service(), s -> new ArrayList<>())
                        .add(u));
    }

    /**
     * Records that an upstream wants no requests from this gateway for some time.
     *
     * @param upstream the instance that asked for it
     * @param duration the time
     * @param nowNanos monotonic time in ns at which its answer arrived
     * @return whether this begins or lengthens the time for which it is left alone
     */
    boolean recordBackoff(ListedUpstream upstream, Duration duration, long nowNanos) {
        OptionalLong endNanos = backoffs.record(upstream, duration, nowNanos);
        endNanos.ifPresent(end -> find(upstream.id())
                .filter(u -> u.entry().isSameInstance(upstream))
                .ifPresent(u -> u.setBackoffEnd(end)));
        return endNanos.isPresent();
    }

    /** Returns whether any upstream has ever asked to be left alone. */
    boolean hasBackoffs() {
        return !backoffs.isEmpty();
    }

    /**
     * Returns the upstreams of a service.
     *
     * @param service name of the service
     * @return upstreams in the order of their identities, empty if none is listed
     */
    public List<UpstreamState> ofService(String service) {
        return byService.getOrDefault(service, List.of());
    }

    /**
     * Returns the number of this gateway's attempts in flight at a service.
     *
     * @param service name of the service
     * @return number of attempts without an outcome
     */
    public int inFlight(String service) {
        return ofService(service).stream().mapToInt(UpstreamState::inFlight).sum();
    }

    /**
     * Returns whether a service has another upstream that is responding.
     *
     * @param except the upstream that is not considered
     * @param nowNanos monotonic time in ns
     * @return true if a response of another upstream made progress recently
     */
    public boolean hasOtherActive(UpstreamState except, long nowNanos) {
        return ofService(except.entry().service()).stream().anyMatch(u -> u != except && u.isActive(nowNanos));
    }

    /**
     * Finds an upstream.
     *
     * @param id identity of the upstream
     * @return the upstream, or empty if it is not listed
     */
    public Optional<UpstreamState> find(String id) {
        return Optional.ofNullable(byId.get(id));
    }
}
