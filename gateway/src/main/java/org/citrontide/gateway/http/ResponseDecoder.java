package org.citrontide.gateway.http;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * Decodes the responses on a kept connection to a peer that may send bytes which belong to no request.
 *
 * <p>Invariants: a response begins only where the response before it ended, and only while one is due; bytes that
 * arrive while none is due are passed on as {@link UnexpectedBytes} and never become a part of a response; a head is
 * decoded once it is complete, and has exactly one status line, which begins with its first byte; a body has no
 * transfer coding other than chunked, since its receivers get it without the Transfer-Encoding field, and its chunks
 * and trailers follow the grammar of RFC 9112; after an irregularity, which is passed on as a message or content whose
 * decoder result is a failure, nothing is decoded any more. Line ends before a status line are rejected too, because a
 * peer that ends its responses where it says sends none. The number of interim and skipped responses before the one
 * that is due is limited, and so are the bytes of chunk framing and trailers in proportion to those of data. A response
 * to a HEAD request has no body, whatever its Content-Length is. Not thread-safe: owned by the event loop.
 */
public final class ResponseDecoder extends HttpResponseDecoder {
    // Upstreams send one interim response at most; a skipped one is the late response to an earlier attempt.
    private static final int MAX_RESPONSES_BEFORE = 16;
    // Chunks of one byte without an extension have five bytes of framing.
    private static final int MAX_FRAMING_PER_BYTE = 8;
    private static final int MIN_FRAMING_LIMIT = 64 * 1024;
    // Above the limits of Netty's decoder for a line and for all trailers.
    private static final int MAX_CHUNK_LINE_BYTES = 16 * 1024;

    private static final String CHUNKED = HttpHeaderValues.CHUNKED.toString();

    private final List<String> singleFields;
    private HeadScanner head = new HeadScanner();
    private StatusLineMatcher skippedMatcher = new StatusLineMatcher();
    private boolean isHeadRequest;
    private boolean isDue;
    private boolean isInBody;
    private boolean isInterim;
    private boolean isSkipping;
    private boolean hasEnded;
    private boolean isBroken;
    private int responsesBefore;
    private Optional<ChunkDecoder> chunks = Optional.empty();
    private long bodyBytes;
    private long dataBytes;

    /**
     * Creates a decoder of a new connection, on which no response is due.
     *
     * @param singleFields names of the header fields that a response may contain only once
     */
    public ResponseDecoder(List<String> singleFields) {
        this.singleFields = List.copyOf(singleFields);
    }

    /**
     * Starts to expect one response that is neither interim nor skipped. Called right before a request is written.
     *
     * @param method method of the request
     */
    public void expectResponseTo(String method) {
        isHeadRequest = method.equals("HEAD");
        isDue = true;
        isSkipping = false;
        hasEnded = false;
        responsesBefore = 0;
    }

    /**
     * Skips the response whose head was passed on last, so that another one stays due. A status line in the rest of it
     * is an irregularity, because the response was then cut and has swallowed the beginning of the next one.
     */
    public void skipResponse() {
        isSkipping = true;
        skippedMatcher = new StatusLineMatcher();
    }

    /**
     * Returns the number of bytes that were received but belong to no response passed on so far.
     *
     * @return number of bytes, which is 0 at the end of a response unless something follows it
     */
    public int unreadBytes() {
        return actualReadableBytes();
    }

    /**
     * Returns whether the next byte received would be the first one of a response.
     *
     * @return false within a response, behind additional bytes, and after an irregularity
     */
    public boolean isAtBoundary() {
        return !isInBody && !isBroken && actualReadableBytes() == 0;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        completeResponse();
        if (isBroken) {
            in.skipBytes(in.readableBytes());
            return;
        }
        if (!isDue) {
            isBroken = true;
            out.add(new UnexpectedBytes(in.readableBytes()));
            in.skipBytes(in.readableBytes());
            return;
        }
        try {
            if (isInBody) {
                decodeBody(ctx, in, out);
            } else if (scanHead(in)) {
                decodeHead(ctx, in, out);
            }
        } catch (MalformedResponseException e) {
            isBroken = true;
            out.add(rejected(e));
            in.skipBytes(in.readableBytes());
        }
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return isHeadRequest || super.isContentAlwaysEmpty(message);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("a response with two lengths");
    }

    /** Applies the end of the last response, once its receiver had the opportunity to skip it. */
    private void completeResponse() {
        if (hasEnded) {
            isDue = isInterim || isSkipping;
            isSkipping = false;
            hasEnded = false;
        }
    }

    /** Scans the bytes of a head that were not scanned before; returns whether it is complete. */
    private boolean scanHead(ByteBuf in) throws MalformedResponseException {
        while (!head.isComplete() && head.length() < in.readableBytes()) {
            head.accept(in.getByte(in.readerIndex() + head.length()));
        }
        return head.isComplete();
    }

    private void decodeHead(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        int first = out.size();
        int end = in.readerIndex() + head.length();
        super.decode(ctx, in, out);
        head = new HeadScanner();
        if (out.size() == first || !(out.get(first) instanceof HttpResponse response)) {
            throw new MalformedResponseException("unparsable");
        }
        if (response.decoderResult().isFailure()) {
            isBroken = true;
            return;
        }
        try {
            checkHead(response, in.readerIndex() == end);
        } catch (MalformedResponseException e) {
            removeFrom(out, first);
            throw e;
        }
        isInterim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        isInBody = true;
        chunks = HttpUtil.isTransferEncodingChunked(response)
                ? Optional.of(new ChunkDecoder(MAX_CHUNK_LINE_BYTES))
                : Optional.empty();
        bodyBytes = 0;
        dataBytes = 0;
        noteEnd(out, first);
    }

    private void checkHead(HttpResponse response, boolean isWhole) throws MalformedResponseException {
        responsesBefore++;
        if (responsesBefore > MAX_RESPONSES_BEFORE + 1) {
            throw new MalformedResponseException("too-many-responses");
        }
        if (!isWhole) {
            throw new MalformedResponseException("unparsable");
        }
        if (response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
            throw new MalformedResponseException("switching-protocols");
        }
        for (String name : singleFields) {
            if (response.headers().getAll(name).size() > 1) {
                throw new MalformedResponseException("repeated-field");
            }
        }
        if (!isContentAlwaysEmpty(response) && !hasReadableCoding(response.headers())) {
            throw new MalformedResponseException("transfer-coding");
        }
    }

    /** Returns whether the body has no transfer coding but a single chunked one, which alone is removed from it. */
    private static boolean hasReadableCoding(HttpHeaders headers) {
        List<String> fields = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        List<String> codings = fields.stream()
                .flatMap(field -> Stream.of(field.split(",")))
                .map(String::strip)
                .filter(coding -> !coding.isEmpty())
                .toList();
        return fields.isEmpty() || codings.size() == 1 && CHUNKED.equalsIgnoreCase(codings.getFirst());
    }

    private void decodeBody(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        int first = out.size();
        int begin = in.readerIndex();
        super.decode(ctx, in, out);
        try {
            checkBody(in.slice(begin, in.readerIndex() - begin), out.subList(first, out.size()));
        } catch (MalformedResponseException e) {
            removeFrom(out, first);
            throw e;
        }
        noteEnd(out, first);
    }

    /** Checks the bytes of a body that were decoded into some messages. */
    private void checkBody(ByteBuf decoded, List<Object> messages) throws MalformedResponseException {
        boolean hasStatusLine = false;
        for (int i = 0; isSkipping && i < decoded.writerIndex(); i++) {
            hasStatusLine |= skippedMatcher.accept(decoded.getByte(i));
        }
        if (hasStatusLine || hasStatusLineInTrailers(messages)) {
            throw new MalformedResponseException("second-status-line");
        }
        bodyBytes += decoded.readableBytes();
        boolean hasFailed = false;
        boolean isLast = false;
        for (Object message : messages) {
            HttpContent content = (HttpContent) message;
            dataBytes += content.content().readableBytes();
            hasFailed |= content.decoderResult().isFailure();
            isLast |= content instanceof LastHttpContent;
        }
        if (bodyBytes - dataBytes > MIN_FRAMING_LIMIT + MAX_FRAMING_PER_BYTE * dataBytes) {
            throw new MalformedResponseException("framing-too-long");
        }
        if (chunks.isPresent() && !hasFailed) {
            checkChunks(decoded, isLast, chunks.get());
        }
    }

    /** Checks the grammar of chunks and trailers, of which the library's decoder accepts violations. */
    private static void checkChunks(ByteBuf decoded, boolean isLast, ChunkDecoder chunks)
            throws MalformedResponseException {
        while (decoded.isReadable() && !chunks.isEnded() && !chunks.isMalformed()) {
            int length = chunks.skipFraming(decoded);
            if (length > 0) {
                decoded.skipBytes(length);
                chunks.dataRead(length);
            }
        }
        if (decoded.isReadable() || chunks.isMalformed() || chunks.isEnded() != isLast) {
            throw new MalformedResponseException("chunk-framing");
        }
    }

    private static boolean hasStatusLineInTrailers(List<Object> messages) {
        StatusLineMatcher matcher = new StatusLineMatcher();
        return messages.stream()
                .filter(LastHttpContent.class::isInstance)
                .flatMap(last -> ((LastHttpContent) last).trailingHeaders().entries().stream())
                .map(field -> field.getKey() + "\n" + field.getValue() + "\n")
                .anyMatch(field -> field.chars().anyMatch(c -> matcher.accept((byte) c)));
    }

    private void noteEnd(List<Object> out, int first) {
        for (Object message : out.subList(first, out.size())) {
            if (message instanceof LastHttpContent last) {
                isInBody = false;
                hasEnded = true;
                isBroken |= last.decoderResult().isFailure();
            }
        }
    }

    private Object rejected(MalformedResponseException e) {
        if (isInBody) {
            LastHttpContent last = new DefaultLastHttpContent();
            last.setDecoderResult(DecoderResult.failure(e));
            return last;
        }
        HttpMessage message = createInvalidMessage();
        message.setDecoderResult(DecoderResult.failure(e));
        return message;
    }

    private static void removeFrom(List<Object> out, int first) {
        while (out.size() > first) {
            ReferenceCountUtil.release(out.remove(out.size() - 1));
        }
    }
}
