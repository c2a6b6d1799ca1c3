package org.citrontide.wire.link;

import java.util.Locale;

/** Why a connection was broken off. Immutable. */
public enum LinkFault {
    /** The peer does not hold the shared key. */
    WRONG_KEY,
    /** The peer did not prove itself in time. */
    HANDSHAKE_TIMEOUT,
    /** The peer sent something else than its proof first. */
    UNEXPECTED_FRAME,
    /** The peer sent bytes that are no frame, or a frame above the limit. */
    BAD_FRAME,
    /** Nothing was heard for too long. */
    SILENT,
    /** The connection could not be made. */
    UNREACHABLE;

    /**
     * Returns the key used in logs.
     *
     * @return lower-case words joined by hyphens
     */
    public String key() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
