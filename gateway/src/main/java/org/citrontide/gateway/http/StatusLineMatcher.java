package org.citrontide.gateway.http;

/**
 * Finds the beginnings of status lines ({@code HTTP/1.x ddd}) at any offset of a sequence of bytes that arrives in
 * pieces. Not thread-safe.
 */
final class StatusLineMatcher {
    /** Length of the beginning of a status line, up to its status code, in bytes. */
    static final int LENGTH = 12;

    /** Offset of the status code in a status line, in bytes. */
    static final int CODE_OFFSET = 9;

    private static final String VERSION = "HTTP/1.";
    private static final int SPACE_OFFSET = 8;

    private int matched;

    /** Returns whether a byte may stand at an offset of a status line below {@link #LENGTH}. */
    static boolean fits(int offset, byte b) {
        if (offset < VERSION.length()) {
            return b == VERSION.charAt(offset);
        }
        return offset == SPACE_OFFSET ? b == ' ' : b >= '0' && b <= '9';
    }

    /** Takes the next byte; returns whether the beginning of a status line ends with it. */
    boolean accept(byte b) {
        if (!fits(matched, b)) {
            // The first byte of the pattern occurs in it only once, so no shorter match is under way.
            matched = 0;
        }
        if (fits(matched, b)) {
            matched++;
        }
        if (matched < LENGTH) {
            return false;
        }
        matched = 0;
        return true;
    }
}
