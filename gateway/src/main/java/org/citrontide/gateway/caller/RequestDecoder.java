package org.citrontide.gateway.caller;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import org.citrontide.gateway.http.ChunkDecoder;

/**
 * Decodes the requests of one connection: heads once they are complete, and bodies in one loop over their bytes.
 *
 * <p>Invariant: nothing is decoded any more after {@link #discardRest}, nor after bytes that were rejected. Not
 * thread-safe: owned by the event loop.
 */
final class RequestDecoder {
    private final StrictRequestDecoder headDecoder;
    private final HeadCollector head;
    private final int maxHeaderBytes;
    private final Receiver receiver;
    private State state = State.HEAD;
    private ChunkDecoder chunks;
    private long unreadBodyBytes;
    private boolean isHeadIncomplete;
    private boolean isRequestLineChecked;
    private long headSinceNanos;

    /** Receives what is decoded. */
    interface Receiver {
        /** Handles a head, whose decoder result may be a failure, and the memory that it takes up. */
        void headDecoded(HttpRequest request, int cost);

        /** Handles a head that is rejected before it is complete. */
        void headRejected(boolean isTooLong);

        /**
         * Reads a part of the body.
         *
         * @param in where to read it
         * @param length number of bytes to read
         * @param unread number of bytes of the body that have not been read, if it is known, or of its limit otherwise
         */
        void bodyReceived(ByteBuf in, int length, long unread);

        /** Handles chunk framing that is not well-formed. */
        void bodyRejected();

        /** Handles the end of a request. */
        void requestDecoded();
    }

    private enum State {
        HEAD,
        FIXED_BODY,
        CHUNKED_BODY,
        DISCARDING
    }

    RequestDecoder(StrictRequestDecoder headDecoder, int maxHeaderBytes, Receiver receiver) {
        this.headDecoder = headDecoder;
        this.maxHeaderBytes = maxHeaderBytes;
        this.head = new HeadCollector(maxHeaderBytes);
        this.receiver = receiver;
    }

    void decode(ByteBuf in) {
        while (in.isReadable()) {
            switch (state) {
                case HEAD -> decodeHead(in);
                case FIXED_BODY -> decodeFixedBody(in);
                case CHUNKED_BODY -> decodeChunkedBody(in);
                case DISCARDING -> in.skipBytes(in.readableBytes());
                default -> throw new IllegalStateException("unknown state " + state);
            }
        }
    }

    /** Drops all bytes from now on, because the connection is about to be closed. */
    void discardRest() {
        state = State.DISCARDING;
        isHeadIncomplete = false;
        head.reset();
    }

    /** Returns for how many ns the head of a request has been incomplete, 0 if none is. */
    long headIncompleteNanos(long nowNanos) {
        return isHeadIncomplete ? Math.max(1, nowNanos - headSinceNanos) : 0;
    }

    /** Returns the memory that the incomplete head takes up, 0 if none is incomplete. */
    int incompleteHeadCost() {
        return isHeadIncomplete ? head.cost() : 0;
    }

    private void decodeHead(ByteBuf in) {
        if (!isHeadIncomplete) {
            isHeadIncomplete = true;
            isRequestLineChecked = false;
            headSinceNanos = System.nanoTime();
        }
        switch (head.collect(in)) {
            case INCOMPLETE -> checkRequestLine();
            case COMPLETE -> handleHead(headDecoder.decodeHead(head.head()));
            case TOO_LONG -> rejectHead(true);
            case MALFORMED -> rejectHead(false);
            default -> throw new IllegalStateException("unknown result");
        }
    }

    /** Rejects a malformed request line before the head is complete, which its sender may never end. */
    private void checkRequestLine() {
        if (isRequestLineChecked || !head.hasRequestLine()) {
            return;
        }
        isRequestLineChecked = true;
        if (headDecoder.decodeHead(head.requestLineAsHead()).decoderResult().isFailure()) {
            rejectHead(false);
        }
    }

    private void rejectHead(boolean isTooLong) {
        discardRest();
        receiver.headRejected(isTooLong);
    }

    private void handleHead(HttpRequest request) {
        isHeadIncomplete = false;
        int cost = head.cost();
        head.reset();
        if (request.decoderResult().isFailure()) {
            discardRest();
            receiver.headDecoded(request, cost);
            return;
        }
        unreadBodyBytes = HttpUtil.getContentLength(request, 0L);
        boolean isChunked = HttpUtil.isTransferEncodingChunked(request);
        if (isChunked) {
            state = State.CHUNKED_BODY;
            chunks = new ChunkDecoder(maxHeaderBytes);
        } else if (unreadBodyBytes > 0) {
            state = State.FIXED_BODY;
        }
        receiver.headDecoded(request, cost);
        if (state == State.HEAD) {
            receiver.requestDecoded();
        }
    }

    private void decodeFixedBody(ByteBuf in) {
        int length = (int) Math.min(unreadBodyBytes, in.readableBytes());
        long unread = unreadBodyBytes;
        unreadBodyBytes -= length;
        receiver.bodyReceived(in, length, unread);
        if (unreadBodyBytes == 0) {
            endBody();
        }
    }

    private void decodeChunkedBody(ByteBuf in) {
        while (state == State.CHUNKED_BODY) {
            int length = chunks.skipFraming(in);
            if (length == 0) {
                break;
            }
            chunks.dataRead(length);
            receiver.bodyReceived(in, length, Integer.MAX_VALUE);
        }
        if (state != State.CHUNKED_BODY) {
            return;
        }
        if (chunks.isMalformed()) {
            discardRest();
            receiver.bodyRejected();
        } else if (chunks.isEnded()) {
            endBody();
        }
    }

    private void endBody() {
        if (state != State.DISCARDING) {
            state = State.HEAD;
            receiver.requestDecoded();
        }
    }
}
