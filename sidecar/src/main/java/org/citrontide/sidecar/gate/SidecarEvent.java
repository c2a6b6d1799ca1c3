package org.citrontide.sidecar.gate;

import org.citrontide.core.gate.GateEvent;
import org.citrontide.wire.generated.Attempt;
import org.citrontide.wire.link.Link;

/** What happens to a {@link GateShell}. Immutable. */
sealed interface SidecarEvent {

    /** An entry sent an attempt. */
    record AttemptReceived(Link link, Attempt attempt) implements SidecarEvent {}

    /** An entry does not wait for an attempt any more. */
    record CancelReceived(long link, long attempt) implements SidecarEvent {}

    /** A link came up or ended. */
    record LinkChanged(Link link, boolean up) implements SidecarEvent {}

    /** Something happened that concerns the gate alone. */
    record ForGate(GateEvent event) implements SidecarEvent {}
}
