package org.citrontide.gateway.admin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.citrontide.fakes.net.TestPorts;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests a page server over sockets with clients that break off a request and go on with another one. */
final class PageServerTest {
    private static final int TIMEOUT_MS = 1000;
    private static final String REQUEST = "POST /submit HTTP/1.1\r\nHost: x\r\nX-A: 1\r\nContent-Length: 4\r\n\r\nbody";
    private static final String NEXT = "GET /next HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";

    // Guards against a document or a page for a request whose head can't be read.
    @Test
    void requestWithAMalformedHeadGetsNoPage() throws IOException {
        MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        List<String> handled = new CopyOnWriteArrayList<>();
        List<String> wrong = new ArrayList<>();
        int port = TestPorts.allocate();
        try {
            new PageServer(loops, provider(handled)).listen(new InetSocketAddress("127.0.0.1", port));
            for (int cut = REQUEST.indexOf("Host"); cut < REQUEST.indexOf("\r\n\r\n"); cut++) {
                if (REQUEST.lastIndexOf(':', cut - 1) > REQUEST.lastIndexOf('\n', cut - 1)) {
                    // Any text may be the rest of a value.
                    continue;
                }
                handled.clear();
                String response = exchange(port, REQUEST.substring(0, cut) + NEXT);
                if (!response.startsWith("HTTP/1.1 400 ") || !handled.isEmpty()) {
                    wrong.add(cut + " " + response.lines().findFirst().orElse("none") + " " + handled);
                }
            }
            assertEquals(List.of(), wrong);
            exchange(port, REQUEST + NEXT);
            assertEquals(List.of("/submit body", "/next"), handled);
        } finally {
            loops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        }
    }

    private static PageServer.PageProvider provider(List<String> handled) {
        return new PageServer.PageProvider() {
            @Override
            public Page page(String path) {
                handled.add(path);
                return Page.text("page");
            }

            @Override
            public Page submit(String path, byte[] body) {
                handled.add(path + " " + new String(body, StandardCharsets.US_ASCII));
                return Page.text("received");
            }
        };
    }

    private static String exchange(int port, String bytes) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(TIMEOUT_MS);
            socket.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        } catch (SocketTimeoutException e) {
            return "connection left open";
        }
    }
}
