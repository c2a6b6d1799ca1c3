package org.citrontide.dist;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Callers that write given bytes over non-blocking sockets and keep their connections open.
 *
 * <p>Invariant: {@link #play} returns although the gateway stops reading. Confined to the thread of its test.
 */
final class Crowd implements AutoCloseable {
    // End a play in which the gateway has stopped reading. Neither decides the result of a test.
    private static final Duration MAX_PAUSE = Duration.ofSeconds(5);
    private static final Duration MAX_PLAY = Duration.ofSeconds(120);
    private static final long SELECT_MS = 200;
    private static final int STATUS_LINE_BYTES = "HTTP/1.1 200".length();

    private final InetSocketAddress address;
    private final Selector selector = Selector.open();
    private final ByteBuffer input = ByteBuffer.allocate(64 * 1024);
    private final Set<Integer> statuses = new TreeSet<>();
    private int reconnections;
    private int responses;
    private long written;
    private long lastUnread;
    private long lastProgressNanos;

    /**
     * What a caller sends.
     *
     * @param bytes the bytes
     * @param writeSize largest number of bytes given to the system in one write
     */
    record Message(byte[] bytes, int writeSize) {
        Message(byte[] bytes) {
            this(bytes, Integer.MAX_VALUE);
        }
    }

    private static final class Caller {
        private final Message message;
        private final ByteBuffer output;
        private final StringBuilder statusLine = new StringBuilder();

        Caller(Message message) {
            this.message = message;
            this.output = ByteBuffer.wrap(message.bytes());
        }
    }

    Crowd(int port) throws IOException {
        address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    /**
     * Opens connections whose callers send the messages in turn, and plays until the gateway has read all messages or
     * closed their connections and no caller may connect again, or the gateway neither reads nor closes any more.
     *
     * @param connections number of connections
     * @param maxReconnections how many callers in all connect again at once after they were disconnected
     * @param messages the messages
     */
    void play(int connections, int maxReconnections, List<Message> messages) throws IOException {
        reconnections = maxReconnections;
        for (int i = 0; i < connections; i++) {
            connect(messages.get(i % messages.size()));
        }
        long startNanos = System.nanoTime();
        lastProgressNanos = startNanos;
        while (!isFinished()
                && System.nanoTime() - lastProgressNanos < MAX_PAUSE.toNanos()
                && System.nanoTime() - startNanos < MAX_PLAY.toNanos()) {
            selectOnce(SELECT_MS);
        }
    }

    /** Reads the responses that have arrived. */
    void readResponses() throws IOException {
        long startNanos = System.nanoTime();
        while (selectOnce(1) && System.nanoTime() - startNanos < MAX_PLAY.toNanos()) {
            // Each call reads from the connections that are ready.
        }
    }

    /** Waits until so many callers have received the start of a response, or the longest time of a play has passed. */
    void awaitResponses(int count) throws IOException {
        long startNanos = System.nanoTime();
        while (responses < count && System.nanoTime() - startNanos < MAX_PLAY.toNanos()) {
            selectOnce(SELECT_MS);
        }
    }

    /** Returns the number of callers that have received the start of a response. */
    int responses() {
        return responses;
    }

    /** Returns the statuses of the first response to each caller. */
    Set<Integer> statuses() {
        return statuses;
    }

    /** Returns the number of bytes written and the number of connections that the gateway has not closed. */
    String summary() {
        long open = selector.keys().stream().filter(SelectionKey::isValid).count();
        return written + " bytes written, " + open + " connections open, " + responses + " responses " + statuses;
    }

    @Override
    public void close() throws IOException {
        for (SelectionKey key : List.copyOf(selector.keys())) {
            key.channel().close();
        }
        selector.close();
    }

    private boolean selectOnce(long timeoutMs) throws IOException {
        boolean isReady = selector.select(timeoutMs) > 0;
        for (SelectionKey key : selector.selectedKeys()) {
            handle(key);
        }
        selector.selectedKeys().clear();
        return isReady;
    }

    private boolean isFinished() throws IOException {
        if (selector.keys().stream().anyMatch(k -> k.isValid() && ((Caller) k.attachment()).output.hasRemaining())) {
            return false;
        }
        long unread = countUnreadBytes();
        if (unread != lastUnread) {
            lastUnread = unread;
            lastProgressNanos = System.nanoTime();
        }
        return unread == 0 && reconnections == 0;
    }

    /** Returns the bytes to the gateway that the system keeps, and the connections that it has not accepted. */
    private long countUnreadBytes() throws IOException {
        long unread = 0;
        String port = ":%04X".formatted(address.getPort());
        for (String table : List.of("/proc/net/tcp", "/proc/net/tcp6")) {
            for (String line : Files.readAllLines(Path.of(table))) {
                // Columns: number, local address, remote address, state, bytes to send and bytes to read.
                String[] columns = line.trim().split("\\s+");
                String[] queues = columns[4].split(":");
                if (columns[1].endsWith(port)) {
                    unread += Long.parseLong(queues[1], 16);
                } else if (columns[2].endsWith(port)) {
                    unread += Long.parseLong(queues[0], 16);
                }
            }
        }
        return unread;
    }

    private void connect(Message message) throws IOException {
        SocketChannel channel = SocketChannel.open();
        channel.configureBlocking(false);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        channel.register(selector, SelectionKey.OP_CONNECT, new Caller(message));
        try {
            channel.connect(address);
        } catch (IOException e) {
            channel.close();
        }
    }

    private void handle(SelectionKey key) throws IOException {
        Caller caller = (Caller) key.attachment();
        try {
            if (key.isValid() && key.isConnectable() && ((SocketChannel) key.channel()).finishConnect()) {
                key.interestOps(SelectionKey.OP_READ | SelectionKey.OP_WRITE);
            }
            if (key.isValid() && key.isReadable() && !read(key, caller)) {
                disconnect(key, caller);
            }
            if (key.isValid() && key.isWritable()) {
                write(key, caller);
            }
        } catch (IOException e) {
            disconnect(key, caller);
        }
    }

    private void disconnect(SelectionKey key, Caller caller) throws IOException {
        key.channel().close();
        lastProgressNanos = System.nanoTime();
        if (reconnections > 0) {
            reconnections--;
            connect(caller.message);
        }
    }

    /** Returns false if the gateway has closed the connection. */
    private boolean read(SelectionKey key, Caller caller) throws IOException {
        input.clear();
        int count = ((SocketChannel) key.channel()).read(input);
        if (count < 0) {
            return false;
        }
        int missing = STATUS_LINE_BYTES - caller.statusLine.length();
        if (missing > 0) {
            caller.statusLine.append(
                    new String(input.array(), 0, Math.min(count, missing), StandardCharsets.ISO_8859_1));
            if (caller.statusLine.length() == STATUS_LINE_BYTES) {
                responses++;
                statuses.add(Integer.parseInt(caller.statusLine.substring(STATUS_LINE_BYTES - 3)));
            }
        }
        return true;
    }

    private void write(SelectionKey key, Caller caller) throws IOException {
        ByteBuffer slice = caller.output.duplicate();
        slice.limit(slice.position() + Math.min(slice.remaining(), caller.message.writeSize()));
        int count = ((SocketChannel) key.channel()).write(slice);
        caller.output.position(slice.position());
        written += count;
        if (count > 0) {
            lastProgressNanos = System.nanoTime();
        }
        if (!caller.output.hasRemaining()) {
            key.interestOps(SelectionKey.OP_READ);
        }
    }
}
