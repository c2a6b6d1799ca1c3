package org.citrontide.gateway.store;

import java.io.IOException;
import java.io.Serial;
import java.net.InetSocketAddress;

/**
 * A call that was sent on an open connection and got no complete answer. The connection may have fallen silent or been
 * closed while the server is available.
 */
final class UnansweredCallException extends IOException {
    @Serial
    private static final long serialVersionUID = 1;

    UnansweredCallException(InetSocketAddress address, String reason) {
        super(reason + ": " + address);
    }
}
