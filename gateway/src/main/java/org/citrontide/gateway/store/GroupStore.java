package org.citrontide.gateway.store;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.citrontide.platform.DecodeException;
import org.citrontide.platform.MetadataStore;
import org.citrontide.platform.MetadataStore.Item;
import org.citrontide.runtime.log.EventLog;

/**
 * Shares the groups of the upstreams, which only the leader reads from their reports, with all gateways through the
 * store.
 *
 * <p>The groups tell gateways which upstreams fail together; a gateway without them, or with old ones, only routes less
 * well. Invariants: at most one write is in flight; a service with one group is not written unless it had several. Not
 * thread-safe: confined to the event loop.
 */
public final class GroupStore {
    /** Prefix of the keys. The rest of a key is the name of a service. */
    public static final String PREFIX = "citrontide/groups/";

    private static final EventLog LOG = EventLog.of(GroupStore.class);
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(500);
    // A write is read back by the watch within about a second; until then it must not be repeated.
    private static final Duration MIN_WRITE_INTERVAL = Duration.ofSeconds(2);
    private static final int OK = 200;

    private final PlatformClient client;
    private final InetSocketAddress store;
    private final Map<String, Map<String, List<String>>> shared = new HashMap<>();
    private boolean isWriting;
    private long lastWriteNanos = System.nanoTime() - MIN_WRITE_INTERVAL.toNanos();

    /**
     * Creates a store without groups.
     *
     * @param client client for the calls to the store
     * @param store address of the store
     */
    public GroupStore(PlatformClient client, InetSocketAddress store) {
        this.client = client;
        this.store = store;
    }

    /**
     * Writes the groups of a service if they differ from those in the store. To be called regularly by the leader.
     *
     * @param service name of the service
     * @param membersByGroup identities of the members by the name of the group
     */
    public void publish(String service, Map<String, List<String>> membersByGroup) {
        boolean isNeeded = membersByGroup.size() > 1 || shared.containsKey(service) && !membersByGroup.isEmpty();
        if (!isNeeded
                || isWriting
                || membersByGroup.equals(shared.get(service))
                || System.nanoTime() - lastWriteNanos < MIN_WRITE_INTERVAL.toNanos()) {
            return;
        }
        isWriting = true;
        lastWriteNanos = System.nanoTime();
        Map<String, byte[]> puts = Map.of(PREFIX + service, GroupCodec.encode(membersByGroup));
        client.call(store, MetadataStore.transaction(Map.of(), puts, 0, List.of()), CALL_TIMEOUT)
                .whenComplete((response, failure) -> {
                    isWriting = false;
                    boolean isWritten = failure == null && response.status() == OK;
                    LOG.info(isWritten ? "groups-written" : "groups-unwritten")
                            .with("service", service)
                            .with("groups", membersByGroup.size())
                            .write();
                });
    }

    /**
     * Replaces the groups read from the store.
     *
     * @param items all items whose keys have the prefix of groups
     */
    public void updateShared(Collection<Item> items) {
        shared.clear();
        for (Item i : items) {
            try {
                shared.put(i.key().substring(PREFIX.length()), GroupCodec.decode(i.value()));
            } catch (DecodeException e) {
                LOG.warn("groups-unusable")
                        .with("key", i.key())
                        .with("why", e.getMessage())
                        .write();
            }
        }
    }

    /**
     * Returns the group of each upstream.
     *
     * @return name of the service and the group, separated by a slash, by the identity of the upstream
     */
    public Map<String, String> groupByUpstream() {
        Map<String, String> groups = new TreeMap<>();
        shared.forEach((service, membersByGroup) ->
                membersByGroup.forEach((group, members) -> members.forEach(m -> groups.put(m, service + '/' + group))));
        return groups;
    }
}
