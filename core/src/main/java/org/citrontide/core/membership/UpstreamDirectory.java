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
 * Directory of the upstreams known to one entry, from the platform's list, the sidecars' reports and the link states.
 *
 * <p>Invariants: an upstream that reports that it is draining gets no new requests, whatever the list says; an upstream
 * that left the list is kept while its link is up, because the list lags; the index by service holds the same upstreams
 * as the map of all. Not thread-safe: one thread owns it.
 */
public final class UpstreamDirectory {
    private final Map<UpstreamId, Upstream> upstreams = new TreeMap<>();
    private final Map<String, List<Upstream>> byService = new HashMap<>();
    private final UpstreamSubset subset;

    /**
     * Creates an empty directory.
     *
     * @param subset selects the upstreams that this entry keeps links to
     */
    public UpstreamDirectory(UpstreamSubset subset) {
        this.subset = subset;
    }

    /**
     * Updates the directory with a new copy of the platform's list.
     *
     * @param all all VMs with a sidecar
     * @return the resulting link changes
     */
    public LinkChanges updateList(Collection<ListedVm> all) {
        List<ListedVm> list = subset.choose(all);
        List<UpstreamId> toOpen = new ArrayList<>();
        List<UpstreamId> toClose = new ArrayList<>();
        Set<UpstreamId> present = new HashSet<>();
        for (ListedVm vm : list) {
            present.add(vm.id());
            Upstream known = upstreams.get(vm.id());
            if (known == null || !known.vm().service().equals(vm.service())) {
                upstreams.put(vm.id(), new Upstream(vm));
                toOpen.add(vm.id());
            }
        }
        upstreams.values().removeIf(u -> {
            boolean isGone = !present.contains(u.vm().id()) && !u.isLinked();
            if (isGone) {
                toClose.add(u.vm().id());
            }
            return isGone;
        });
        byService.clear();
        upstreams
                .values()
                .forEach(u -> byService
                        .computeIfAbsent(u.vm().service(), s -> new ArrayList<>())
                        .add(u));
        return new LinkChanges(toOpen, toClose);
    }

    /**
     * Marks the link to an upstream as up.
     *
     * @param id link address of the upstream's sidecar
     */
    public void markLinkUp(UpstreamId id) {
        find(id).ifPresent(Upstream::markLinkUp);
    }

    /**
     * Marks the link to an upstream as down and discards its report.
     *
     * @param id link address of the upstream's sidecar
     */
    public void markLinkDown(UpstreamId id) {
        find(id).ifPresent(Upstream::markLinkDown);
    }

    /**
     * Updates the report of a sidecar.
     *
     * @param id link address of the upstream's sidecar
     * @param report the newest report of its sidecar
     */
    public void updateReport(UpstreamId id, SidecarReport report) {
        find(id).ifPresent(u -> u.updateReport(report));
    }

    /**
     * Records an attempt that was sent to an upstream.
     *
     * @param id link address of the upstream's sidecar
     * @param urgency urgency class of the request
     */
    public void recordSent(UpstreamId id, Urgency urgency) {
        find(id).ifPresent(u -> u.recordSent(urgency));
    }

    /**
     * Records the end of an attempt and updates the health of the upstream.
     *
     * @param id link address of the upstream's sidecar
     * @param urgency urgency class of the request
     * @param hasFailed whether the attempt failed because of the upstream
     */
    public void recordEnded(UpstreamId id, Urgency urgency, boolean hasFailed) {
        find(id).ifPresent(u -> u.recordEnded(urgency, hasFailed));
    }

    /**
     * Returns the upstream with a link address.
     *
     * @param id link address of its sidecar
     * @return the upstream, or empty if it is unknown
     */
    public Optional<Upstream> find(UpstreamId id) {
        return Optional.ofNullable(upstreams.get(id));
    }

    /**
     * Returns the upstreams of a service that accept new requests.
     *
     * @param service name of the service
     * @return the upstreams, ordered by address
     */
    public List<Upstream> acceptingUpstreams(String service) {
        List<Upstream> accepting = new ArrayList<>();
        for (Upstream u : byService.getOrDefault(service, List.of())) {
            if (u.isAccepting()) {
                accepting.add(u);
            }
        }
        return accepting;
    }

    /**
     * Returns the number of known upstreams.
     *
     * @return number of upstreams
     */
    public int size() {
        return upstreams.size();
    }

    /**
     * Links to open and to close after an update of the list. Immutable.
     *
     * @param toOpen upstreams to connect to
     * @param toClose upstreams that were removed from the directory
     */
    public record LinkChanges(List<UpstreamId> toOpen, List<UpstreamId> toClose) {

        /** Creates changes with copies of the lists. */
        public LinkChanges {
            toOpen = List.copyOf(toOpen);
            toClose = List.copyOf(toClose);
        }
    }
}
