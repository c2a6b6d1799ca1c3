package org.citrontide.wire.link;

import java.util.Locale;

/** The reason for which a connection was rejected or closed. Immutable. */
public enum LinkFault {
    /** The peer does not hold the shared key. */
    WRONG_KEY,
    /** The handshake did not complete within its timeout. */
    HANDSHAKE_TIMEOUT,
    /** The peer sent a frame that is not valid at this stage of the handshake. */
    UNEXPECTED_FRAME,
    /** The peer sent a malformed frame, or a frame above the size limit. */
    BAD_FRAME,
    /** No frame was received within the read idle timeout. */
    SILENT,
    /** The connection could not be established. */
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
