package org.citrontide.gateway.store;

import java.io.IOException;
import java.io.Serial;
import java.net.InetSocketAddress;

/** A response that is larger than its reader accepts. The call can be repeated with a narrower question. */
final class ResponseTooLargeException extends IOException {
    @Serial
    private static final long serialVersionUID = 1;

    ResponseTooLargeException(InetSocketAddress address, int limitBytes) {
        super("response exceeds " + limitBytes + " bytes: " + address);
    }
}
