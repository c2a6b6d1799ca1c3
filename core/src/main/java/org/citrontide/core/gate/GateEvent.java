package org.citrontide.core.gate;

import org.citrontide.core.claim.ClaimEvent;
import org.citrontide.core.publication.ServiceFile;

/** An event that a {@link SidecarGate} handles. Immutable. */
public sealed interface GateEvent {

    /**
     * An attempt arrived.
     *
     * @param request request of the attempt
     */
    record AttemptArrived(GateRequest request) implements GateEvent {}

    /**
     * An attempt was cancelled: its result is no longer needed.
     *
     * @param id number of the attempt
     */
    record AttemptCancelled(long id) implements GateEvent {}

    /**
     * A call to the upstream ended.
     *
     * @param id number of the attempt
     * @param outcome outcome of the call
     */
    record CallEnded(long id, CallOutcome outcome) implements GateEvent {}

    /**
     * A call to the platform's store of claims returned.
     *
     * @param event result of the call
     */
    record ClaimReplyReceived(ClaimEvent event) implements GateEvent {}

    /**
     * A new configuration took effect.
     *
     * @param file configuration file of the service behind this gate
     */
    record ConfigurationChanged(ServiceFile file) implements GateEvent {}

    /** The process is shutting down; the gate must drain. */
    record DrainRequested() implements GateEvent {}

    /** Time advanced; requests may have expired. */
    record Tick() implements GateEvent {}
}
