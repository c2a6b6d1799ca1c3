package org.citrontide.gateway.admin;

import java.nio.charset.StandardCharsets;

/**
 * Status and content of a page. Immutable; the body must not be modified.
 *
 * @param status HTTP status
 * @param contentType media type
 * @param body content of the page
 */
public record Page(int status, String contentType, byte[] body) {
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int UNAVAILABLE = 503;
    private static final String TEXT = "text/plain; charset=utf-8";

    /**
     * Creates a page of plain text.
     *
     * @param text the text
     * @return the page with status 200
     */
    public static Page text(String text) {
        return new Page(OK, TEXT, text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Creates a page of JSON.
     *
     * @param body the JSON document
     * @return the page with status 200
     */
    public static Page json(byte[] body) {
        return new Page(OK, "application/json", body);
    }

    /**
     * Creates the page for a document that can't be used.
     *
     * @param text the reason, as plain text
     * @return the page with status 400
     */
    public static Page badRequest(String text) {
        return new Page(BAD_REQUEST, TEXT, text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Creates the page for an unknown path.
     *
     * @return the page with status 404
     */
    public static Page notFound() {
        return new Page(NOT_FOUND, TEXT, "unknown page\n".getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Creates a page for content that is currently unavailable.
     *
     * @param text the reason, as plain text
     * @return the page with status 503
     */
    public static Page unavailable(String text) {
        return new Page(UNAVAILABLE, TEXT, text.getBytes(StandardCharsets.UTF_8));
    }
}
