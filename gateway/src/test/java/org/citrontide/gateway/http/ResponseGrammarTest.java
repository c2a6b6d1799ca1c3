package org.citrontide.gateway.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests the decoder with responses that follow the grammar of RFC 9112, and with ones that violate it. */
final class ResponseGrammarTest {
    private static final int STATUS_CODES = 1000;
    private static final int MIN_STATUS_CODE = 100;
    private static final int MAX_STATUS_CODE = 599;
    private static final int SWITCHING_PROTOCOLS = 101;

    @Test
    void statusCodesFrom100To599AreAccepted() {
        for (int code = 0; code < STATUS_CODES; code++) {
            String text = "HTTP/1.1 %03d Reason\r\nContent-Length: 0\r\n\r\n".formatted(code);
            boolean isValid = code >= MIN_STATUS_CODE && code <= MAX_STATUS_CODE;
            String expected = code == SWITCHING_PROTOCOLS
                    ? "rejected switching-protocols"
                    : isValid ? code + " complete" : "rejected status-code";
            assertDecoded(expected, text);
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK",
                "HTTP/1.0 200 OK",
                "HTTP/1.7 200 OK",
                "HTTP/1.1 200 ",
                "HTTP/1.1 200",
                "HTTP/1.1 200 \tOK  then",
                "HTTP/1.1 200 \u00e9\u00ff"
            })
    void statusLineIsAccepted(String line) {
        assertDecoded("200 complete", line + "\r\nContent-Length: 0\r\n\r\n");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 20 OK",
                "HTTP/1.1 2000 OK",
                "HTTP/1.1 2x0 OK",
                "HTTP/1.1 +20 OK",
                "HTTP/1.1 -20 OK",
                "HTTP/1.1 200OK",
                "HTTP/1.1 200\tOK",
                "HTTP/1.1  200 OK",
                "HTTP/1.1\t200 OK",
                " HTTP/1.1 200 OK",
                "HTTP/1.1200 OK",
                "HTTP/2.0 200 OK",
                "HTTP/1.10 200 OK",
                "HTTP/1 200 OK",
                "http/1.1 200 OK",
                "ICY 200 OK",
                "200 OK",
                "\r\nHTTP/1.1 200 OK"
            })
    void malformedStatusLineIsRejected(String line) {
        assertDecoded("rejected no-status-line", line + "\r\nContent-Length: 0\r\n\r\n");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"HTTP/1.1 200 O\u0000K", "HTTP/1.1 200 O\u007fK", "HTTP/1.1 200 O\u000bK", "HTTP/1.1 200 O\nK"})
    void controlByteInReasonPhraseIsRejected(String line) {
        assertDecoded("rejected control-character", line + "\r\nContent-Length: 0\r\n\r\n");
    }

    @Test
    void tokensAreAcceptedAsFieldNames() {
        for (char c = 0; c < 256; c++) {
            boolean isToken = c < 128 && (Character.isLetterOrDigit(c) || "!#$%&'*+-.^_`|~".indexOf(c) >= 0);
            String expected = isToken || c == ':' ? "200 complete" : "rejected field-name";
            assertDecoded(expected, withField("X" + c + "Y: a"));
            assertDecoded(isToken || c == ':' ? "200 complete" : "rejected field-name", withField("X" + c + ": a"));
            String first = c == ' ' || c == '\t' ? "rejected folded-line" : c == '\r' ? "rejected bare-cr" : expected;
            assertDecoded(c == ':' ? "rejected field-name" : first, withField(c + "X: a"));
        }
        assertDecoded("rejected field-name", withField(": a"));
        assertDecoded("rejected field-name", withField("X-Without-Colon"));
    }

    @Test
    void visibleCharactersSpacesAndTabsAreAcceptedInFieldValues() {
        for (char c = 0; c < 256; c++) {
            boolean isControl = c < ' ' && c != '\t' || c == 0x7f;
            String control = c == '\r' ? "rejected bare-cr" : "rejected control-character";
            assertDecoded(isControl ? control : "200 complete", withField("X: a" + c + "b"));
        }
        assertDecoded("200 complete", withField("X:"));
        assertDecoded("200 complete", withField("X: \t a \t "));
        assertDecoded("rejected folded-line", withField("X: a\r\n b"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"0", "00", " 0 ", "\t0\t", "000000000000000000"})
    void contentLengthIsAccepted(String value) {
        assertDecoded("200 complete", "HTTP/1.1 200 OK\r\nContent-Length:" + value + "\r\n\r\n");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "+3",
                "-3",
                "0x3",
                "3.0",
                "3a",
                "3 3",
                "3,3",
                "3, 4",
                "3\r\nContent-Length: 3",
                "3\r\nContent-Length: 4",
                "9223372036854775808",
                "99999999999999999999"
            })
    void malformedContentLengthIsRejected(String value) {
        assertDecoded("rejected unparsable", "HTTP/1.1 200 OK\r\nContent-Length: " + value + "\r\n\r\nown");
    }

    @ParameterizedTest
    @ValueSource(strings = {"chunked", "Chunked", " \tchunked\t ", "chunked,", ",chunked"})
    void chunkedIsAcceptedAsTransferCoding(String value) {
        assertDecoded("200 own complete", withCoding(value));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "gzip",
                "identity",
                "gzip, chunked",
                "chunked, gzip",
                "chunked, chunked",
                "chunked;q=1",
                "xchunked",
                "chunked chunked",
                "\"chunked\"",
                "chunked\r\nTransfer-Encoding: chunked",
                "gzip\r\nTransfer-Encoding: chunked",
                "chunked\r\nTransfer-Encoding: gzip",
                "gzip\r\nContent-Length: 3",
                "identity\r\nContent-Length: 3"
            })
    void otherTransferCodingsAreRejected(String value) {
        assertDecoded("rejected", withCoding(value));
    }

    @Test
    void framingThatIsAmbiguousIsRejected() {
        assertDecoded("rejected", withCoding("chunked\r\nContent-Length: 3"));
        assertDecoded("rejected", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nown\r\n0\r\n\r\n");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "3\r\nown\r\n0\r\n\r\n",
                "1\r\no\r\n2\r\nwn\r\n000\r\n\r\n",
                "00000000000000003\r\nown\r\n0\r\n\r\n",
                "3;a\r\nown\r\n0;b=c\r\n\r\n",
                "3;a=b;c=\"d \\\" e\"\r\nown\r\n0\r\n\r\n",
                "3;a = b\r\nown\r\n0\r\n\r\n",
                "3 ;\ta\t=\t\"b\"; c\r\nown\r\n0\r\n\r\n",
                "3\r\nown\r\n0\r\nX: a\r\nY:\tb c\r\n\r\n"
            })
    void chunksAreAccepted(String body) {
        assertDecoded("200 own complete", chunked(body));
    }

    // In the grammar, but the library's decoder rejects it.
    @Test
    void blankBehindTheValueOfAChunkExtensionIsRejected() {
        assertDecoded("200 rejected", chunked("3;a=b ;c\r\nown\r\n0\r\n\r\n"));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "\r\n",
                "x\r\nown\r\n0\r\n\r\n",
                " 3\r\nown\r\n0\r\n\r\n",
                "3 \r\nown\r\n0\r\n\r\n",
                "3 x\r\nown\r\n0\r\n\r\n",
                "3\u0000x\r\nown\r\n0\r\n\r\n",
                "+3\r\nown\r\n0\r\n\r\n",
                "-3\r\nown\r\n0\r\n\r\n",
                "0x3\r\nown\r\n0\r\n\r\n",
                "3;\r\nown\r\n0\r\n\r\n",
                "3;=b\r\nown\r\n0\r\n\r\n",
                "3;a=\r\nown\r\n0\r\n\r\n",
                "3;a \r\nown\r\n0\r\n\r\n",
                "3;a b\r\nown\r\n0\r\n\r\n",
                "3;a=\"b\r\nown\r\n0\r\n\r\n",
                "3;a=\"b\"c\r\nown\r\n0\r\n\r\n",
                "3;a\u0000\r\nown\r\n0\r\n\r\n",
                "3\nown\r\n0\r\n\r\n",
                "3\rown\r\n0\r\n\r\n",
                "100000003\r\nown\r\n0\r\n\r\n",
                "10000000000000003\r\nown\r\n0\r\n\r\n",
                "80000000\r\nown\r\n0\r\n\r\n"
            })
    void malformedChunkHeaderIsRejected(String body) {
        assertDecoded("200 rejected", chunked(body));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "3\r\nown\n0\r\n\r\n",
                "3\r\nown0\r\n\r\n",
                "3\r\nowner\r\n0\r\n\r\n",
                "3\r\nown\r0\r\n\r\n",
                "3\r\nown\r\n0\r\n\n",
                "3\r\nown\r\n0\r\nX : a\r\n\r\n",
                "3\r\nown\r\n0\r\nX\u0000: a\r\n\r\n",
                "3\r\nown\r\n0\r\nX: a\u0000\r\n\r\n",
                "3\r\nown\r\n0\r\nX: a\n\r\n",
                "3\r\nown\r\n0\r\nX: a\r\n b\r\n\r\n",
                "3\r\nown\r\n0\r\nX\r\n\r\n",
                "3\r\nown\r\n0\r\n: a\r\n\r\n"
            })
    void malformedEndOfAChunkOrBodyIsRejected(String body) {
        assertDecoded("200 own rejected", chunked(body));
    }

    @ParameterizedTest
    @ValueSource(strings = {"204 No Content", "304 Not Modified"})
    void statusWithoutABodyEndsWithItsHead(String status) {
        String code = status.substring(0, 3);
        for (String field :
                List.of("X: a", "Content-Length: 3", "Transfer-Encoding: chunked", "Transfer-Encoding: gzip")) {
            assertDecoded(code + " complete", "HTTP/1.1 " + status + "\r\n" + field + "\r\n\r\n");
        }
    }

    private static String withField(String line) {
        return "HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 0\r\n\r\n";
    }

    private static String withCoding(String value) {
        return "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + value + "\r\n\r\n3\r\nown\r\n0\r\n\r\n";
    }

    private static String chunked(String body) {
        return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + body;
    }

    /** Checks what is decoded of a response, whose reason for a rejection may be left out, however it arrives. */
    private static void assertDecoded(String expected, String text) {
        String whole = decode(List.of(text));
        String inBytes = decode(List.of(text.split("")));
        String description = text.replace("\r", "\\r").replace("\n", "\\n");
        boolean isAnyReason = expected.endsWith("rejected");
        assertEquals(expected, isAnyReason ? withoutReason(whole) : whole, description);
        assertEquals(expected, isAnyReason ? withoutReason(inBytes) : inBytes, description);
    }

    private static String withoutReason(String outcome) {
        return outcome.replaceAll("rejected .*", "rejected");
    }

    /** Returns status, body and the end of the response, with the reason if it is rejected. */
    private static String decode(List<String> parts) {
        ResponseDecoder decoder = new ResponseDecoder(List.of());
        EmbeddedChannel channel = new EmbeddedChannel(decoder);
        decoder.expectResponseTo("GET");
        List<String> decoded = new ArrayList<>();
        StringBuilder body = new StringBuilder();
        String end = "";
        for (String part : parts) {
            channel.writeInbound(Unpooled.copiedBuffer(part, StandardCharsets.ISO_8859_1));
            for (Object o = channel.readInbound(); o != null; o = channel.readInbound()) {
                HttpObject message = (HttpObject) o;
                boolean isRejected = message.decoderResult().isFailure();
                if (message instanceof HttpResponse r && !isRejected) {
                    decoded.add(Integer.toString(r.status().code()));
                }
                if (message instanceof HttpContent c) {
                    body.append(c.content().toString(StandardCharsets.ISO_8859_1));
                }
                if (isRejected) {
                    end = "rejected "
                            + MalformedResponseException.reasonOf(
                                    message.decoderResult().cause());
                } else if (message instanceof LastHttpContent) {
                    end = "complete";
                }
                ReferenceCountUtil.release(o);
            }
        }
        channel.finishAndReleaseAll();
        if (!body.isEmpty()) {
            decoded.add(body.toString());
        }
        decoded.add(end);
        return String.join(" ", decoded);
    }
}
