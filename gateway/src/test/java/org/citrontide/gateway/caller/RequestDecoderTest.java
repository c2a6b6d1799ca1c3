package org.citrontide.gateway.caller;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Compares the decoder of callers' requests with Netty's, which is as strict, and checks its bounds. */
final class RequestDecoderTest {
    private static final int MAX_HEADER_BYTES = 400;
    private static final int SEEDS = 20_000;
    private static final String CHUNKED = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final List<String> REQUESTS = List.of(
            "GET /a HTTP/1.1\r\nHost: h\r\nX: y z\r\n\r\n",
            "\r\nPOST /a?b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nabcde",
            "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n",
            "GET /a HTTP/1.0\r\na:\r\na:\r\na:\r\n\r\n",
            CHUNKED + "3\r\nabc\r\n0\r\n\r\n",
            CHUNKED + "1\r\na\r\n0a;x=\"y\"\r\n0123456789\r\n000\r\nT: v\r\nU: w\r\n\r\n",
            CHUNKED + "0\r\n\r\n");
    private static final List<String> SPOILERS = List.of(
            "\r",
            "\n",
            "\r\n",
            " ",
            "\t",
            ":",
            ";",
            "0",
            "f",
            "-",
            "+",
            "x",
            "\u0000",
            "\u007f",
            "HTTP/1.1",
            "Content-Length: 3\r\n",
            "Transfer-Encoding: chunked\r\n",
            "x".repeat(MAX_HEADER_BYTES));

    /** Records what is decoded, as text. */
    private static final class Recorder implements RequestDecoder.Receiver {
        final List<String> requests = new ArrayList<>();
        final StringBuilder open = new StringBuilder();
        RequestDecoder decoder;
        String rejection = "";
        boolean isBodyRejected;
        int maxCost;

        @Override
        public void headDecoded(HttpRequest request, int cost) {
            maxCost = Math.max(maxCost, cost);
            if (request.decoderResult().isFailure()) {
                rejection = rejection(request.decoderResult().cause());
                return;
            }
            open.append(describe(request));
        }

        @Override
        public void headRejected(boolean isTooLong) {
            rejection = isTooLong ? "431" : "400";
        }

        @Override
        public void bodyReceived(ByteBuf in, int length, long unread) {
            assertTrue(length > 0 && length <= unread && length <= in.readableBytes());
            open.append(in.readCharSequence(length, StandardCharsets.ISO_8859_1));
        }

        @Override
        public void bodyRejected() {
            isBodyRejected = true;
            rejection = "400";
        }

        @Override
        public void requestDecoded() {
            requests.add(open.toString());
            open.setLength(0);
        }

        void decode(String bytes, int piece) {
            for (int i = 0; i < bytes.length(); i += piece) {
                String part = bytes.substring(i, Math.min(bytes.length(), i + piece));
                decoder.decode(Unpooled.copiedBuffer(part, StandardCharsets.ISO_8859_1));
                maxCost = Math.max(maxCost, decoder.incompleteHeadCost());
            }
        }
    }

    private static Recorder recorder(int maxHeaderBytes) {
        Recorder recorder = new Recorder();
        recorder.decoder = new RequestDecoder(new StrictRequestDecoder(maxHeaderBytes), maxHeaderBytes, recorder);
        return recorder;
    }

    private static String describe(HttpRequest request) {
        return request.method() + " " + request.uri() + " " + request.protocolVersion() + " "
                + request.headers().entries() + " ";
    }

    private static String rejection(Throwable cause) {
        boolean isTooLong = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
        return isTooLong ? "431" : "400";
    }

    /** Returns what Netty's decoder makes of the same bytes: the complete requests, and the rejection, if any. */
    private static List<String> decodeWithNetty(String bytes) {
        EmbeddedChannel channel = new EmbeddedChannel(new HttpRequestDecoder(new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_HEADER_BYTES)
                .setMaxHeaderSize(MAX_HEADER_BYTES)));
        channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
        List<String> out = new ArrayList<>();
        StringBuilder open = new StringBuilder();
        for (Object o = channel.readInbound(); o != null; o = channel.readInbound()) {
            if (o instanceof HttpRequest request) {
                if (request.decoderResult().isFailure()) {
                    out.add(rejection(request.decoderResult().cause()));
                    break;
                }
                open.append(describe(request));
            }
            if (o instanceof HttpContent content) {
                if (content.decoderResult().isFailure()) {
                    out.add("400");
                    break;
                }
                open.append(content.content().toString(StandardCharsets.ISO_8859_1));
                content.release();
                if (content instanceof LastHttpContent) {
                    out.add(open.toString());
                    open.setLength(0);
                }
            }
        }
        channel.finishAndReleaseAll();
        return out;
    }

    // Guards against requests that other HTTP parsers delimit differently, and against other statuses than before.
    // Three differences are allowed: a malformed field is rejected once its head is complete; a head that is then also
    // too long gets 431 for its length; folded trailers and blanks behind the value of a chunk extension are rejected.
    @Test
    void decodesAndRejectsLikeNettyWhateverThePieces() {
        int rejected = 0;
        int stricter = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            StringBuilder bytes = new StringBuilder();
            for (int i = 0; i < 3; i++) {
                bytes.append(REQUESTS.get(random.nextInt(REQUESTS.size())));
            }
            for (int i = random.nextInt(3); i > 0; i--) {
                int at = random.nextInt(bytes.length());
                if (random.nextBoolean()) {
                    bytes.deleteCharAt(at);
                } else {
                    bytes.insert(at, SPOILERS.get(random.nextInt(SPOILERS.size())));
                }
            }
            List<String> expected = decodeWithNetty(bytes.toString());
            Recorder recorder = recorder(MAX_HEADER_BYTES);
            recorder.decode(bytes.toString(), 1 + random.nextInt(random.nextBoolean() ? 4 : 200));
            List<String> found = new ArrayList<>(recorder.requests);
            if (!recorder.rejection.isEmpty()) {
                found.add(recorder.rejection);
                rejected++;
            } else if (recorder.decoder.incompleteHeadCost() > 0) {
                removeLast(expected, "400");
            }
            if (recorder.rejection.equals("431") && removeLast(expected, "400")) {
                expected.add("431");
            }
            if (recorder.isBodyRejected && !expected.equals(found)) {
                stricter++;
                found.removeLast();
                expected = expected.subList(0, Math.min(expected.size(), found.size()));
            }
            String text = bytes.toString().replace("\r", "\\r").replace("\n", "\\n");
            assertEquals(expected, found, "seed " + seed + ": " + text);
        }
        assertTrue(stricter < SEEDS / 100, "stricter " + stricter);
        assertTrue(rejected > SEEDS / 5 && rejected < SEEDS * 4 / 5, "rejected " + rejected);
    }

    private static boolean removeLast(List<String> list, String value) {
        boolean isLast = !list.isEmpty() && list.getLast().equals(value);
        if (isLast) {
            list.removeLast();
        }
        return isLast;
    }

    // Guards against a malformed request line that is rejected only after the header timeout.
    @Test
    void malformedRequestLineIsRejectedBeforeTheHeadIsComplete() {
        Recorder recorder = recorder(MAX_HEADER_BYTES);
        recorder.decode("no request line\r\n", 4);
        assertEquals("400", recorder.rejection);
    }

    // Guards against 4,000 lines in 16 KB that are refused, and against their objects not being counted before.
    @Test
    void headOfManyShortLinesIsDecodedAndCountedWhileItArrives() {
        String head = "GET /a HTTP/1.1\r\nHost: h\r\n" + "a:\r\n".repeat(4000);
        for (int piece : new int[] {1, 997, head.length()}) {
            Recorder recorder = recorder(16_384);
            recorder.decode(head, piece);
            assertEquals(List.of(), recorder.requests);
            assertTrue(recorder.maxCost > 1_000_000, "cost " + recorder.maxCost);
            recorder.decode("\r\n", 1);
            assertEquals(1, recorder.requests.size());
            assertEquals(0, recorder.decoder.incompleteHeadCost());
        }
    }

    // Guards against line ends, extensions or trailers without end that take up memory or are accepted.
    @Test
    void endlessFramingIsBounded() {
        Recorder emptyLines = recorder(MAX_HEADER_BYTES);
        emptyLines.decode("\r\n".repeat(100_000), 1000);
        assertTrue(emptyLines.decoder.incompleteHeadCost() < 5000);
        for (String endless : List.of("1;" + "x".repeat(1000), "0".repeat(1000), "0\r\n" + "T: v\r\n".repeat(200))) {
            Recorder recorder = recorder(MAX_HEADER_BYTES);
            recorder.decode(CHUNKED + endless, 7);
            assertEquals("400", recorder.rejection, endless.substring(0, 5));
        }
    }
}
