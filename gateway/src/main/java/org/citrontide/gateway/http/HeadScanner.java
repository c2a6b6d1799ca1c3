package org.citrontide.gateway.http;

/**
 * Checks the bytes of one response head while they arrive.
 *
 * <p>Invariants: an accepted head has one status line, which begins with its first byte and has a status code from 100
 * to 599, and its lines are separated by CRLF and not folded. A head that is made of the bytes of two responses is
 * therefore never accepted: the second one contributes its own status line. Not thread-safe.
 */
final class HeadScanner {
    // The limits of Netty's decoder for the first line and for the fields together.
    private static final int MAX_BYTES = 4096 + 8192;
    private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";

    private final StatusLineMatcher matcher = new StatusLineMatcher();
    private Part part = Part.STATUS_LINE;
    private int length;

    private enum Part {
        STATUS_LINE,
        LINE_START,
        NAME,
        VALUE,
        AFTER_CR,
        LAST_LF,
        END
    }

    /** Returns the number of bytes that were accepted. */
    int length() {
        return length;
    }

    /** Returns whether the head is complete. */
    boolean isComplete() {
        return part == Part.END;
    }

    /** Takes the next byte of a head that is not complete. */
    void accept(byte b) throws MalformedResponseException {
        if (length == MAX_BYTES) {
            throw new MalformedResponseException("head-too-long");
        }
        boolean hasStatusLine = matcher.accept(b);
        if (hasStatusLine && length >= StatusLineMatcher.LENGTH) {
            throw new MalformedResponseException("second-status-line");
        }
        part = next(b);
        length++;
    }

    private Part next(byte b) throws MalformedResponseException {
        return switch (part) {
            case STATUS_LINE -> nextInStatusLine(b);
            case LINE_START -> nextAtLineStart(b);
            case NAME -> nextInName(b);
            case VALUE -> nextInText(b, Part.VALUE);
            case AFTER_CR -> requireLineFeed(b, Part.LINE_START);
            case LAST_LF -> requireLineFeed(b, Part.END);
            case END -> throw new IllegalStateException("the head is complete");
        };
    }

    private Part nextInStatusLine(byte b) throws MalformedResponseException {
        if (length < StatusLineMatcher.LENGTH) {
            require(StatusLineMatcher.fits(length, b), "no-status-line");
            require(length != StatusLineMatcher.CODE_OFFSET || b >= '1' && b <= '5', "status-code");
            return Part.STATUS_LINE;
        }
        require(length > StatusLineMatcher.LENGTH || b == ' ' || b == '\r', "no-status-line");
        return nextInText(b, Part.STATUS_LINE);
    }

    private static Part nextAtLineStart(byte b) throws MalformedResponseException {
        if (b == '\r') {
            return Part.LAST_LF;
        }
        require(b != ' ' && b != '\t', "folded-line");
        require(isToken(b), "field-name");
        return Part.NAME;
    }

    private static Part nextInName(byte b) throws MalformedResponseException {
        if (b == ':') {
            return Part.VALUE;
        }
        require(isToken(b), "field-name");
        return Part.NAME;
    }

    private static Part nextInText(byte b, Part current) throws MalformedResponseException {
        if (b == '\r') {
            return Part.AFTER_CR;
        }
        boolean isControl = b >= 0 && b < ' ' && b != '\t' || b == 0x7f;
        require(!isControl, "control-character");
        return current;
    }

    private static Part requireLineFeed(byte b, Part next) throws MalformedResponseException {
        require(b == '\n', "bare-cr");
        return next;
    }

    private static boolean isToken(byte b) {
        return b >= '0' && b <= '9' || b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || TOKEN_SYMBOLS.indexOf(b) >= 0;
    }

    private static void require(boolean condition, String reason) throws MalformedResponseException {
        if (!condition) {
            throw new MalformedResponseException(reason);
        }
    }
}
