package org.citrontide.gateway.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests the decoder with each cut of a second response before a whole one. */
final class ResponseDecoderTest {
    private static final String ID = "Citrontide-Attempt-Id";
    private static final String FIRST = "HTTP/1.1 200 First\r\n" + ID + ": first\r\nContent-Length: 2\r\n\r\n11";

    /** How the bytes arrive. */
    private enum Writes {
        ONE,
        TWO,
        BYTES
    }

    /** A response whose cuts are sent; as a response to GET. */
    private enum Second {
        SIZED("200 S", "Content-Length: 6\r\n\r\nsecond"),
        CHUNKED("200 S", "Transfer-Encoding: chunked\r\n\r\n10\r\n0123456789abcdef\r\n2\r\nxy\r\n0\r\n\r\n"),
        EXTENSIONS("500 S", "Transfer-Encoding: chunked\r\n\r\n6;a=b;c=\"d\"\r\nsecond\r\n0;e\r\n\r\n"),
        TRAILERS("500 S", "Transfer-Encoding: chunked\r\n\r\n6\r\nsecond\r\n0\r\nX-Trailer: a\r\nX-Other: b\r\n\r\n"),
        BARE_LINE_FEEDS("200 S", "Transfer-Encoding: chunked\n\n6\nsecond\n0\n\n"),
        NO_CONTENT("204 S", "\r\n"),
        NOT_MODIFIED("304 S", "Content-Length: 6\r\n\r\n"),
        INTERIM("103 S", "Link: x\r\n\r\nHTTP/1.1 200 S\r\n" + ID + ": second\r\nContent-Length: 6\r\n\r\nsecond"),
        TWO_LENGTHS("200 S", "Content-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nsecond\r\n0\r\n\r\n"),
        REPEATED_ID("200 S", ID + ": second\r\nContent-Length: 6\r\n\r\nsecond");

        private final String text;

        Second(String status, String rest) {
            text = "HTTP/1.1 " + status + "\r\n" + ID + ": second\r\n" + rest;
        }
    }

    /** A whole response with what must be decoded of it. */
    private enum Own {
        SIZED("GET", "200", "Content-Length: 3\r\n\r\nown", "own"),
        CHUNKED("GET", "500", "Transfer-Encoding: chunked\r\n\r\n2;a=b\r\now\r\n1\r\nn\r\n0\r\nX-T: a\r\n\r\n", "own"),
        HEAD("HEAD", "200", "Content-Length: 3\r\n\r\n", ""),
        NO_CONTENT("GET", "204", "\r\n", ""),
        NOT_MODIFIED("GET", "304", "Content-Length: 3\r\n\r\n", ""),
        AFTER_INTERIM("GET", "200", "Content-Length: 3\r\n\r\nown", "own");

        private final String method;
        private final String text;
        private final String decoded;

        Own(String method, String status, String rest, String body) {
            this.method = method;
            String interim = name().equals("AFTER_INTERIM") ? "HTTP/1.1 103 Hints\r\nLink: y\r\n\r\n" : "";
            text = interim + "HTTP/1.1 " + status + " Own\r\n" + ID + ": own\r\n" + rest;
            decoded = status + " Own [own] " + body;
        }
    }

    @ParameterizedTest
    @EnumSource
    void responseWithNothingBeforeItIsDecoded(Own own) {
        for (Writes writes : Writes.values()) {
            try (Connection c = new Connection()) {
                c.exchange("GET", "first", FIRST, "", writes);
                c.exchange(own.method, "own", "", own.text, writes);
                assertEquals(List.of("200 First [first] 11", own.decoded), c.decoded, writes.name());
                assertEquals(0, c.failures);
            }
        }
    }

    @ParameterizedTest
    @EnumSource
    void pieceThatArrivesWhileAResponseIsDueIsNeverMixedWithIt(Second second) {
        List<String> mixed = new ArrayList<>();
        for (Own own : Own.values()) {
            for (Writes writes : Writes.values()) {
                for (int cut = 1; cut <= second.text.length(); cut++) {
                    try (Connection c = new Connection()) {
                        c.exchange("GET", "first", FIRST, "", writes);
                        c.exchange(own.method, "own", second.text.substring(0, cut), own.text, writes);
                        check(c, own, own + " " + writes + " " + cut, mixed);
                    }
                }
            }
        }
        assertEquals(List.of(), mixed);
    }

    @ParameterizedTest
    @EnumSource
    void pieceThatArrivesWhileNoResponseIsDueIsNeverMixedWithTheNext(Second second) {
        List<String> mixed = new ArrayList<>();
        for (Own own : Own.values()) {
            for (Writes writes : Writes.values()) {
                for (int cut = 1; cut <= second.text.length(); cut++) {
                    try (Connection c = new Connection()) {
                        c.exchange("GET", "first", FIRST, second.text.substring(0, cut), writes);
                        c.exchange(own.method, "own", "", own.text, writes);
                        check(c, own, own + " " + writes + " " + cut, mixed);
                        if (c.failures == 0) {
                            mixed.add(own + " " + writes + " " + cut + " without a failure");
                        }
                    }
                }
            }
        }
        assertEquals(List.of(), mixed);
    }

    private static void check(Connection c, Own own, String description, List<String> mixed) {
        String first = "200 First [first] 11";
        boolean isOwn = c.decoded.equals(List.of(first, own.decoded));
        boolean hasFailed = c.decoded.equals(List.of(first)) && c.failures > 0;
        if (!isOwn && !hasFailed) {
            mixed.add(description + " " + c.decoded + " " + c.failures + " failures");
        }
    }

    /** A connection that skips the responses to other requests as the gateway does. */
    private static final class Connection extends ChannelInboundHandlerAdapter implements AutoCloseable {
        private final ResponseDecoder decoder = new ResponseDecoder(List.of(ID));
        private final EmbeddedChannel channel = new EmbeddedChannel(decoder, this);
        private final List<String> decoded = new ArrayList<>();
        private final StringBuilder body = new StringBuilder();
        private String expectedId = "";
        private String head = "";
        private boolean isSkipped;
        private int failures;

        private void exchange(String method, String id, String part, String otherPart, Writes writes) {
            expectedId = id;
            decoder.expectResponseTo(method);
            List<String> texts = switch (writes) {
                case ONE -> List.of(part + otherPart);
                case TWO -> List.of(part, otherPart);
                case BYTES -> List.of((part + otherPart).split(""));
            };
            for (String text : texts) {
                channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            try {
                read(message);
            } finally {
                ReferenceCountUtil.release(message);
            }
        }

        private void read(Object message) {
            if (!(message instanceof HttpObject o) || o.decoderResult().isFailure()) {
                failures++;
                isSkipped = true;
                return;
            }
            if (message instanceof HttpResponse r) {
                List<String> ids = r.headers().getAll(ID);
                boolean isOfAnother = ids.stream().anyMatch(id -> !id.equals(expectedId));
                isSkipped = isOfAnother || r.status().codeClass() == HttpStatusClass.INFORMATIONAL;
                if (isOfAnother) {
                    decoder.skipResponse();
                }
                head = r.status().code() + " " + r.status().reasonPhrase() + " " + ids + " ";
                body.setLength(0);
            }
            if (message instanceof HttpContent c) {
                body.append(c.content().toString(StandardCharsets.ISO_8859_1));
            }
            if (message instanceof LastHttpContent && !isSkipped) {
                decoded.add(head + body);
            }
        }

        @Override
        public void close() {
            channel.finishAndReleaseAll();
        }
    }
}
