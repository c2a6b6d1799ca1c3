package org.citrontide.core.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.citrontide.core.routes.ListedUpstream;

/**
 * The upstreams that one gateway knows, by identity and by service.
 *
 * <p>Invariant: what was learned of an upstream is forgotten when it starts again, also under the same identity. Not
 * thread-safe.
 */
public final class GatewayDirectory {
    private final Map<String, UpstreamState> byId = new TreeMap<>();
    private final Map<String, List<UpstreamState>> byService = new HashMap<>();

    /**
     * Takes a new copy of the list.
     *
     * @param list all upstreams that may be used
     * @param nowNanos monotonic time in ns
     */
    public void listed(List<ListedUpstream> list, long nowNanos) {
        Set<String> present = new HashSet<>();
        for (ListedUpstream l : list) {
            present.add(l.id());
            UpstreamState known = byId.get(l.id());
            if (known != null && known.listed().isSameStart(l)) {
                known.relisted(l);
            } else {
                byId.put(l.id(), new UpstreamState(l, nowNanos));
            }
        }
        byId.keySet().retainAll(present);
        byService.clear();
        byId.values()
                .forEach(u -> byService
                        .computeIfAbsent(u.listed().service(), s -> new ArrayList<>())
                        .add(u));
    }

    /**
     * Lists the upstreams of a service.
     *
     * @param service its name
     * @return all that are listed, in the order of their identities
     */
    public List<UpstreamState> ofService(String service) {
        return byService.getOrDefault(service, List.of());
    }

    /**
     * Finds an upstream.
     *
     * @param id its identity
     * @return the upstream, if it is listed
     */
    public Optional<UpstreamState> find(String id) {
        return Optional.ofNullable(byId.get(id));
    }
}
