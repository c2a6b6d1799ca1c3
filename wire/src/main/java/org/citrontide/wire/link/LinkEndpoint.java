package org.citrontide.wire.link;

import java.net.InetSocketAddress;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.citrontide.wire.generated.Frame;
import org.citrontide.wire.generated.ProcessIdentity;

/**
 * Accepts links from other processes and keeps links to others.
 *
 * <p>Invariant: frames above {@value #MAX_FRAME_BYTES} bytes and garbage close their own link and no other. Safe for
 * use by many threads.
 */
public final class LinkEndpoint implements AutoCloseable {
    /** Longest frame in bytes. */
    public static final int MAX_FRAME_BYTES = 8 * 1024 * 1024;

    private static final int LENGTH_BYTES = 4;
    private static final int SILENCE_SECONDS = 4;
    private static final int CONNECT_TIMEOUT_MS = 2000;
    private static final int REDIAL_MS = 500;
    private static final int LOW_WATER_BYTES = 256 * 1024;
    private static final int HIGH_WATER_BYTES = 1024 * 1024;

    private final EventLoopGroup group;
    private final LinkProof proof;
    private final ProcessIdentity self;
    private final LinkListener listener;
    private volatile boolean closed;

    /**
     * Starts the event loops.
     *
     * @param threads number of event loops
     * @param sharedKey key that every process holds
     * @param self identity to prove to peers
     * @param listener gets what happens
     */
    public LinkEndpoint(int threads, String sharedKey, ProcessIdentity self, LinkListener listener) {
        this.group = new MultiThreadIoEventLoopGroup(
                threads, new DefaultThreadFactory("link", true), NioIoHandler.newFactory());
        this.proof = new LinkProof(sharedKey);
        this.self = self;
        this.listener = listener;
    }

    /**
     * Accepts links.
     *
     * @param address IP number and TCP port
     * @return the port bound, which differs from the address's if that is 0
     */
    public int listen(InetSocketAddress address) {
        Channel channel = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(initializer(true))
                .bind(address)
                .syncUninterruptibly()
                .channel();
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    /**
     * Keeps a link to another process: dials, and dials again when the link ends.
     *
     * @param address IP number and TCP port
     * @return ends the link and the dialling when closed
     */
    public Dialled dial(InetSocketAddress address) {
        Dialled d = new Dialled(address);
        d.connect();
        return d;
    }

    @Override
    public void close() {
        closed = true;
        group.shutdownGracefully(0, CONNECT_TIMEOUT_MS, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    private ChannelInitializer<SocketChannel> initializer(boolean accepting) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel ch) {
                ch.config().setWriteBufferWaterMark(new WriteBufferWaterMark(LOW_WATER_BYTES, HIGH_WATER_BYTES));
                ch.pipeline()
                        .addLast(new IdleStateHandler(SILENCE_SECONDS, 0, 0))
                        .addLast(new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                        .addLast(new ProtobufDecoder(Frame.getDefaultInstance()))
                        .addLast(new LengthFieldPrepender(LENGTH_BYTES))
                        .addLast(new ProtobufEncoder())
                        .addLast(new LinkChannelHandler(accepting, proof, self, listener));
            }
        };
    }

    /** A link that is kept up. Safe for use by many threads. */
    public final class Dialled implements AutoCloseable {
        private final InetSocketAddress address;
        private final AtomicBoolean ended = new AtomicBoolean();
        private volatile Channel channel;

        private Dialled(InetSocketAddress address) {
            this.address = address;
        }

        @Override
        public void close() {
            ended.set(true);
            Channel c = channel;
            if (c != null) {
                c.close();
            }
        }

        private void connect() {
            if (ended.get() || closed) {
                return;
            }
            Bootstrap b = new Bootstrap()
                    .group(group)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                    .handler(initializer(false));
            b.connect(address).addListener((ChannelFuture f) -> {
                if (!f.isSuccess()) {
                    redial();
                    return;
                }
                channel = f.channel();
                channel.closeFuture().addListener(c -> redial());
                if (ended.get()) {
                    channel.close();
                }
            });
        }

        private void redial() {
            if (ended.get() || closed || group.isShuttingDown()) {
                return;
            }
            long jitter = ThreadLocalRandom.current().nextLong(REDIAL_MS);
            group.schedule(this::connect, REDIAL_MS + jitter, TimeUnit.MILLISECONDS);
        }
    }
}
