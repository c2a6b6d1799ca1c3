package org.citrontide.gateway.store;

import java.util.List;
import java.util.Set;

import org.citrontide.core.routes.ListedUpstream;
import org.citrontide.core.routes.RoutingTable;
import org.citrontide.platform.MetadataStore.Item;

/** Receives the changes that a {@link StoreMirror} read from the store. Called on the event loop. */
public interface StoreListener {

    /**
     * Called when a higher version of the configuration was read.
     *
     * @param table the configuration
     */
    void configurationChanged(RoutingTable table);

    /**
     * Called when the list of upstreams was read or may have changed.
     *
     * @param upstreams all upstreams considered available
     */
    void upstreamsUpdated(List<ListedUpstream> upstreams);

    /**
     * Called when the leader key was read, written or removed.
     *
     * @param isHeld whether the key exists
     */
    void leaderKeyUpdated(boolean isHeld);

    /**
     * Called when the registrations of the gateways were read or changed.
     *
     * @param vms names of the VMs whose gateways are registered
     */
    void gatewaysUpdated(List<String> vms);

    /**
     * Called when the gateways' evidence on crashes was read or changed.
     *
     * @param items all items with evidence
     */
    void crashEvidenceUpdated(List<Item> items);

    /**
     * Called when the groups of the upstreams were read or changed.
     *
     * @param items all items with groups
     */
    void groupsUpdated(List<Item> items);

    /**
     * Called when the evacuated zones were read or changed, before the upstreams of the same read.
     *
     * @param zones names of all evacuated zones
     */
    void evacuationsUpdated(Set<String> zones);
}
