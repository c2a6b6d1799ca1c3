package org.citrontide.gateway.admin;

import java.nio.charset.StandardCharsets;

/**
 * A whole HTTP answer. Immutable; the body must not be changed.
 *
 * @param status HTTP status
 * @param contentType media type
 * @param body the bytes
 */
public record Page(int status, String contentType, byte[] body) {
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int UNAVAILABLE = 503;
    private static final String TEXT = "text/plain; charset=utf-8";

    /**
     * Makes a page of plain text.
     *
     * @param text the text
     * @return the page with status 200
     */
    public static Page text(String text) {
        return new Page(OK, TEXT, text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Makes a page of JSON.
     *
     * @param body the document
     * @return the page with status 200
     */
    public static Page json(byte[] body) {
        return new Page(OK, "application/json", body);
    }

    /**
     * Makes the page for a path that is not served.
     *
     * @return the page with status 404
     */
    public static Page unknown() {
        return new Page(NOT_FOUND, TEXT, "unknown page\n".getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Makes a page for what is not to be had now.
     *
     * @param text why
     * @return the page with status 503
     */
    public static Page unavailable(String text) {
        return new Page(UNAVAILABLE, TEXT, text.getBytes(StandardCharsets.UTF_8));
    }
}
