package org.citrontide.core.locality;

import java.util.Map;
import java.util.Set;

/**
 * Decides in which zones the upstreams of a request may be.
 *
 * <p>Handles the evacuation of one or several zones at once under full load, and requests that must stay in their home
 * regions: the load of the excluded upstreams falls on the others, and a request without any other upstream is refused.
 *
 * <p>Invariants: an evacuated zone gets no request, whatever its region; a zone whose region is unknown is in no
 * region, so it gets only requests without a restriction. Not thread-safe: confined to the dispatcher's thread.
 */
public final class LocalityPolicy {
    private final Map<String, String> regionByZone;
    private Set<String> evacuatedZones = Set.of();

    /**
     * Creates a policy without evacuated zones.
     *
     * @param regionByZone region of each zone whose region is known
     */
    public LocalityPolicy(Map<String, String> regionByZone) {
        this.regionByZone = Map.copyOf(regionByZone);
    }

    /**
     * Replaces the set of evacuated zones.
     *
     * @param zones names of all zones that get no requests
     */
    public void setEvacuatedZones(Set<String> zones) {
        evacuatedZones = Set.copyOf(zones);
    }

    /**
     * Returns whether any zone is evacuated.
     *
     * @return true if a zone gets no requests
     */
    public boolean isAnyZoneEvacuated() {
        return !evacuatedZones.isEmpty();
    }

    /**
     * Returns whether a zone is evacuated.
     *
     * @param zone name of the zone
     * @return true if it gets no requests
     */
    public boolean isEvacuated(String zone) {
        return evacuatedZones.contains(zone);
    }

    /**
     * Returns whether a request may go to the upstreams of any zone.
     *
     * @param routeRegions regions that the route allows, empty for all
     * @param teamRegions regions that the team allows, empty for all
     * @return true if no zone is evacuated and neither the route nor the team restricts the regions
     */
    public boolean admitsAllZones(Set<String> routeRegions, Set<String> teamRegions) {
        return evacuatedZones.isEmpty() && routeRegions.isEmpty() && teamRegions.isEmpty();
    }

    /**
     * Returns whether a request may go to the upstreams of a zone.
     *
     * @param zone name of the zone
     * @param routeRegions regions that the route allows, empty for all
     * @param teamRegions regions that the team allows, empty for all
     * @return false if the zone is evacuated, or if its region is unknown or not allowed by both
     */
    public boolean admits(String zone, Set<String> routeRegions, Set<String> teamRegions) {
        return !isEvacuated(zone) && isAllowed(zone, routeRegions) && isAllowed(zone, teamRegions);
    }

    private boolean isAllowed(String zone, Set<String> regions) {
        String region = regionByZone.get(zone);
        return regions.isEmpty() || region != null && regions.contains(region);
    }
}
