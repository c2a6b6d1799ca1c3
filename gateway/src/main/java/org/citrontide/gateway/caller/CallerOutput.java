package org.citrontide.gateway.caller;

import java.util.Optional;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import org.citrontide.core.memory.MemoryAccount;
import org.citrontide.core.memory.MemoryBound;
import org.citrontide.core.memory.MemoryHolder;
import org.citrontide.gateway.http.BodyWriter;
import org.citrontide.gateway.memory.MemoryGuard;
import org.citrontide.runtime.eventloop.OutOfMemoryExit;

/**
 * Writes the responses of one connection and counts what its caller has not read.
 *
 * <p>Invariants: output that the socket takes at once is not counted, which is the usual case and costs nothing; a
 * large body counts as a response until all of it is written, and is written in pieces as the caller reads. Not
 * thread-safe: owned by the event loop.
 */
final class CallerOutput {
    private static final ChannelFutureListener CHECK_MEMORY = write -> OutOfMemoryExit.check(write.cause());

    private final Channel channel;
    private final MemoryGuard guard;
    private final MemoryAccount account;
    private Optional<BodyWriter> large = Optional.empty();

    CallerOutput(Channel channel, MemoryGuard guard, CallerConnection connection) {
        this.channel = channel;
        this.guard = guard;
        this.account = guard.open(bound -> refuse(connection, bound));
    }

    /** Writes a message whose body takes up a number of bytes. */
    ChannelFuture write(HttpObject message, int bytes) {
        ChannelFuture write = channel.writeAndFlush(message);
        if (write.isDone()) {
            OutOfMemoryExit.check(write.cause());
            return write;
        }
        guard.add(account, MemoryHolder.UNREAD_OUTPUT, bytes);
        write.addListener(CHECK_MEMORY);
        write.addListener(f -> guard.remove(account, MemoryHolder.UNREAD_OUTPUT, bytes));
        return write;
    }

    /** Writes a response with a large body; the result tells when all of it is written. */
    ChannelFuture writeLarge(HttpResponse head, byte[] body) {
        ChannelPromise promise = channel.newPromise();
        BodyWriter writer = new BodyWriter(channel, Unpooled.wrappedBuffer(body), failure -> {
            large = Optional.empty();
            guard.remove(account, MemoryHolder.RESPONSES, body.length);
            if (failure == null) {
                promise.trySuccess();
            } else {
                promise.tryFailure(failure);
            }
        });
        large = Optional.of(writer);
        guard.add(account, MemoryHolder.RESPONSES, body.length);
        writer.begin(head);
        return promise;
    }

    boolean isWritingLarge() {
        return large.isPresent();
    }

    void resume() {
        large.ifPresent(BodyWriter::resume);
    }

    void close() {
        guard.close(account);
        large = Optional.empty();
    }

    private void refuse(CallerConnection connection, MemoryBound bound) {
        connection.closeUnread(bound, account.closedBytes());
    }
}
