package org.citrontide.gateway.http;

/** Tells that bytes were rejected as a response. */
public final class MalformedResponseException extends Exception {
    private static final long serialVersionUID = 1;

    private final String reason;

    /**
     * Creates an exception.
     *
     * @param reason what is wrong, as a short key in lower case for logs and metrics
     */
    public MalformedResponseException(String reason) {
        super(reason, null, false, false);
        this.reason = reason;
    }

    /**
     * Returns what is wrong.
     *
     * @return one of a fixed set of short keys
     */
    public String reason() {
        return reason;
    }

    /**
     * Returns the reason of a failure to decode.
     *
     * @param cause cause that a decoder reported
     * @return reason of an exception of this class, {@code unparsable} for any other
     */
    public static String reasonOf(Throwable cause) {
        return cause instanceof MalformedResponseException e ? e.reason() : "unparsable";
    }
}
