package org.citrontide.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.citrontide.core.publication.Urgency;

/**
 * The upstreams that one entry knows, from the platform's list, the sidecars' reports and the state of the links.
 *
 * <p>Invariants: an upstream that says it is draining takes no new work from here on, whatever the list says; one that
 * left the list is kept while its link is up, because the list lags; the index by service holds what the map of all
 * holds. Not thread-safe: one thread owns it.
 */
public final class UpstreamDirectory {
    private final Map<UpstreamId, Upstream> upstreams = new TreeMap<>();
    private final Map<String, List<Upstream>> byService = new HashMap<>();
    private final UpstreamSubset subset;

    /**
     * Makes an empty directory.
     *
     * @param subset chooses the upstreams that this entry keeps links to
     */
    public UpstreamDirectory(UpstreamSubset subset) {
        this.subset = subset;
    }

    /**
     * Takes a new copy of the platform's list.
     *
     * @param all all VMs with a sidecar
     * @return the changes of links that follow
     */
    public LinkChanges listed(Collection<ListedVm> all) {
        List<ListedVm> list = subset.choose(all);
        List<UpstreamId> dial = new ArrayList<>();
        List<UpstreamId> drop = new ArrayList<>();
        Set<UpstreamId> present = new HashSet<>();
        for (ListedVm vm : list) {
            present.add(vm.id());
            Upstream known = upstreams.get(vm.id());
            if (known == null || !known.vm().service().equals(vm.service())) {
                upstreams.put(vm.id(), new Upstream(vm));
                dial.add(vm.id());
            }
        }
        upstreams.values().removeIf(u -> {
            boolean gone = !present.contains(u.vm().id()) && !u.isLinked();
            if (gone) {
                drop.add(u.vm().id());
            }
            return gone;
        });
        byService.clear();
        upstreams
                .values()
                .forEach(u -> byService
                        .computeIfAbsent(u.vm().service(), s -> new ArrayList<>())
                        .add(u));
        return new LinkChanges(dial, drop);
    }

    /**
     * Learns that a link is up.
     *
     * @param id the upstream
     */
    public void linkUp(UpstreamId id) {
        find(id).ifPresent(Upstream::linkUp);
    }

    /**
     * Learns that a link is down.
     *
     * @param id the upstream
     */
    public void linkDown(UpstreamId id) {
        find(id).ifPresent(Upstream::linkDown);
    }

    /**
     * Learns a sidecar's own word.
     *
     * @param id the upstream
     * @param report what its sidecar says
     */
    public void reported(UpstreamId id, SidecarReport report) {
        find(id).ifPresent(u -> u.reported(report));
    }

    /**
     * Counts an attempt sent.
     *
     * @param id the upstream
     * @param urgency class of the request
     */
    public void sent(UpstreamId id, Urgency urgency) {
        find(id).ifPresent(u -> u.sent(urgency));
    }

    /**
     * Counts an attempt ended.
     *
     * @param id the upstream
     * @param urgency class of the request
     * @param failed whether the upstream is to blame
     */
    public void ended(UpstreamId id, Urgency urgency, boolean failed) {
        find(id).ifPresent(u -> u.ended(urgency, failed));
    }

    /**
     * Finds one upstream.
     *
     * @param id where its sidecar listens
     * @return the upstream, if known
     */
    public Optional<Upstream> find(UpstreamId id) {
        return Optional.ofNullable(upstreams.get(id));
    }

    /**
     * Lists the upstreams of a service that take new work.
     *
     * @param service name of the service
     * @return the upstreams in the order of their addresses
     */
    public List<Upstream> accepting(String service) {
        List<Upstream> accepting = new ArrayList<>();
        for (Upstream u : byService.getOrDefault(service, List.of())) {
            if (u.isAccepting()) {
                accepting.add(u);
            }
        }
        return accepting;
    }

    /**
     * Returns the number of upstreams known.
     *
     * @return count
     */
    public int size() {
        return upstreams.size();
    }

    /**
     * Links to make and to end after a new list. Immutable.
     *
     * @param dial upstreams to connect to
     * @param drop upstreams to forget
     */
    public record LinkChanges(List<UpstreamId> dial, List<UpstreamId> drop) {

        /** Copies the lists. */
        public LinkChanges {
            dial = List.copyOf(dial);
            drop = List.copyOf(drop);
        }
    }
}
