package org.citrontide.core.membership;

/**
 * A VM in the platform's list of VMs, which lags behind their actual state. Immutable.
 *
 * @param vm name of the VM
 * @param zone its availability zone
 * @param service service of the upstream on the VM, empty if there is none
 * @param id link address of its sidecar
 * @param isLeaving whether the platform reports that the VM is leaving
 */
public record ListedVm(String vm, String zone, String service, UpstreamId id, boolean isLeaving) {}
