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
 * Accepts links from other processes and maintains outbound links.
 *
 * <p>Invariant: a frame above {@value #MAX_FRAME_BYTES} bytes or a malformed frame closes only the link that it arrived
 * on. Thread-safe.
 */
public final class LinkEndpoint implements AutoCloseable {
    /** Maximum length of a frame in bytes. */
    public static final int MAX_FRAME_BYTES = 8 * 1024 * 1024;

    private static final int LENGTH_FIELD_BYTES = 4;
    private static final int READ_IDLE_SECONDS = 4;
    private static final int CONNECT_TIMEOUT_MS = 2000;
    private static final int RECONNECT_DELAY_MS = 500;
    private static final int LOW_WATER_MARK_BYTES = 256 * 1024;
    private static final int HIGH_WATER_MARK_BYTES = 1024 * 1024;

    private final EventLoopGroup group;
    private final LinkAuthenticator authenticator;
    private final ProcessIdentity localIdentity;
    private final LinkListener listener;
    private volatile boolean closed;

    /**
     * Starts the event loops.
     *
     * @param threads number of event loops
     * @param sharedKey key shared by all processes of the deployment
     * @param localIdentity identity of this process, sent to peers
     * @param listener receives the events of all links
     */
    public LinkEndpoint(int threads, String sharedKey, ProcessIdentity localIdentity, LinkListener listener) {
        this.group = new MultiThreadIoEventLoopGroup(
                threads, new DefaultThreadFactory("link", true), NioIoHandler.newFactory());
        this.authenticator = new LinkAuthenticator(sharedKey);
        this.localIdentity = localIdentity;
        this.listener = listener;
    }

    /**
     * Binds a server socket and accepts links on it.
     *
     * @param address IP address and TCP port; port 0 selects a free port
     * @return the bound port
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
     * Maintains a link to another process: connects, and reconnects whenever the connection fails or closes.
     *
     * @param address IP address and TCP port
     * @return the outbound link; closing it disconnects and stops reconnecting
     */
    public OutboundLink dial(InetSocketAddress address) {
        OutboundLink d = new OutboundLink(address);
        d.connect();
        return d;
    }

    @Override
    public void close() {
        closed = true;
        group.shutdownGracefully(0, CONNECT_TIMEOUT_MS, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    private ChannelInitializer<SocketChannel> initializer(boolean isAcceptor) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel ch) {
                ch.config()
                        .setWriteBufferWaterMark(new WriteBufferWaterMark(LOW_WATER_MARK_BYTES, HIGH_WATER_MARK_BYTES));
                ch.pipeline()
                        .addLast(new IdleStateHandler(READ_IDLE_SECONDS, 0, 0))
                        .addLast(new LengthFieldBasedFrameDecoder(
                                MAX_FRAME_BYTES, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES))
                        .addLast(new ProtobufDecoder(Frame.getDefaultInstance()))
                        .addLast(new LengthFieldPrepender(LENGTH_FIELD_BYTES))
                        .addLast(new ProtobufEncoder())
                        .addLast(new LinkChannelHandler(isAcceptor, authenticator, localIdentity, listener));
            }
        };
    }

    /** An outbound link that reconnects after the connection is lost. Thread-safe. */
    public final class OutboundLink implements AutoCloseable {
        private final InetSocketAddress address;
        private final AtomicBoolean ended = new AtomicBoolean();
        private volatile Channel channel;

        private OutboundLink(InetSocketAddress address) {
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
                    scheduleReconnect();
                    return;
                }
                channel = f.channel();
                channel.closeFuture().addListener(c -> scheduleReconnect());
                if (ended.get()) {
                    channel.close();
                }
            });
        }

        private void scheduleReconnect() {
            if (ended.get() || closed || group.isShuttingDown()) {
                return;
            }
            long jitter = ThreadLocalRandom.current().nextLong(RECONNECT_DELAY_MS);
            group.schedule(this::connect, RECONNECT_DELAY_MS + jitter, TimeUnit.MILLISECONDS);
        }
    }
}
