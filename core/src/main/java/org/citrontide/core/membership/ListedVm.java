package org.citrontide.core.membership;

/**
 * One line of the platform's lagging list of VMs. Immutable.
 *
 * @param vm name of the VM
 * @param zone its availability zone
 * @param service service of the upstream on it
 * @param id where its sidecar listens
 * @param leaving whether the platform says that it is leaving
 */
public record ListedVm(String vm, String zone, String service, UpstreamId id, boolean leaving) {}
