package org.citrontide.review;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;

/** Reads lines that end with CRLF. */
final class Lines {
    private Lines() {}

    static String read(InputStream in) throws IOException {
        StringBuilder b = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new EOFException("connection closed");
            }
            if (c != '\r') {
                b.append((char) c);
            }
        }
        return b.toString();
    }
}
