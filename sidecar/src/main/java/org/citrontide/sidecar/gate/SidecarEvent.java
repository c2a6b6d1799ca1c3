package org.citrontide.sidecar.gate;

import org.citrontide.core.gate.GateEvent;
import org.citrontide.wire.generated.Attempt;
import org.citrontide.wire.link.Link;

/** An event that a {@link GateShell} handles. Immutable. */
sealed interface SidecarEvent {

    /** An attempt arrived from an entry. */
    record AttemptReceived(Link link, Attempt attempt) implements SidecarEvent {}

    /** An entry cancelled an attempt: it no longer needs the result. */
    record CancelReceived(long link, long attempt) implements SidecarEvent {}

    /** A link went up or down. */
    record LinkChanged(Link link, boolean isUp) implements SidecarEvent {}

    /** An event occurred that the gate handles unchanged. */
    record GateEventRaised(GateEvent event) implements SidecarEvent {}
}
