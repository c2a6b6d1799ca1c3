package org.citrontide.core.gate;

import org.citrontide.core.claim.ClaimEvent;
import org.citrontide.core.publication.ServiceFile;

/** What happens to a {@link SidecarGate}. Immutable. */
public sealed interface GateEvent {

    /**
     * An attempt arrived.
     *
     * @param request the attempt
     */
    record Arrived(GateRequest request) implements GateEvent {}

    /**
     * Nobody waits for an attempt any more.
     *
     * @param id number of the attempt
     */
    record Cancelled(long id) implements GateEvent {}

    /**
     * A started call ended.
     *
     * @param id number of the attempt
     * @param outcome how
     */
    record Ended(long id, CallOutcome outcome) implements GateEvent {}

    /**
     * The platform's service answered a claim call.
     *
     * @param event the answer
     */
    record ClaimAnswered(ClaimEvent event) implements GateEvent {}

    /**
     * A configuration is in force.
     *
     * @param file the file of the service behind this gate
     */
    record Configured(ServiceFile file) implements GateEvent {}

    /** This process is stopping. */
    record Drain() implements GateEvent {}

    /** Time passed. */
    record Tick() implements GateEvent {}
}
