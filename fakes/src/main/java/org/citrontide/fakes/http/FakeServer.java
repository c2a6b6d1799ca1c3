package org.citrontide.fakes.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executors;

import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** A small HTTP server whose handlers may block: each request has a virtual thread. Safe for use by many threads. */
public final class FakeServer implements AutoCloseable {
    private static final int THREADS = 16;

    private final Server server;
    private final ServerConnector connector;

    /**
     * Starts the server.
     *
     * @param address IP number and port; port 0 takes a free one
     * @param pages what it serves
     * @throws IOException if the address can't be used
     */
    public FakeServer(InetSocketAddress address, Pages pages) throws IOException {
        QueuedThreadPool pool = new QueuedThreadPool(THREADS, 2);
        pool.setVirtualThreadsExecutor(Executors.newVirtualThreadPerTaskExecutor());
        server = new Server(pool);
        HttpConfiguration http = new HttpConfiguration();
        http.setSendServerVersion(false);
        http.setHeaderCacheSize(0);
        connector = new ServerConnector(server, 1, 1, new HttpConnectionFactory(http));
        connector.setHost(address.getHostString());
        connector.setPort(address.getPort());
        connector.setReuseAddress(true);
        server.addConnector(connector);
        server.setHandler(new PagesHandler(pages));
        try {
            server.start();
        } catch (IOException e) {
            throw e;
        } catch (Exception e) {
            throw new IOException("can't serve on " + address, e);
        }
    }

    /**
     * Returns the port bound.
     *
     * @return TCP port
     */
    public int port() {
        return connector.getLocalPort();
    }

    @Override
    public void close() {
        try {
            server.stop();
        } catch (Exception e) {
            throw new IllegalStateException("the server did not stop", e);
        }
    }

    /** What a fake serves. Implementations are safe for use by many threads. */
    public interface Pages {

        /**
         * Answers one request; may block.
         *
         * @param call the request
         * @return the reply
         * @throws IOException if the connection is to break without a whole reply
         * @throws InterruptedException if the server stops
         */
        Reply serve(Call call) throws IOException, InterruptedException;
    }

    /**
     * One reply. Immutable; the array must not be changed.
     *
     * @param status HTTP status
     * @param revision value of the {@code Revision} header, below 0 for none
     * @param body the body
     */
    public record Reply(int status, long revision, byte[] body) {
        private static final int OK = 200;

        /**
         * Makes a JSON reply.
         *
         * @param text the document
         * @return the reply with status 200
         */
        public static Reply json(String text) {
            return new Reply(OK, -1, text.getBytes(StandardCharsets.UTF_8));
        }

        /**
         * Makes a reply without a body.
         *
         * @param status HTTP status
         * @return the reply
         */
        public static Reply status(int status) {
            return new Reply(status, -1, new byte[0]);
        }
    }

    /** One request. Confined to its thread. */
    public static final class Call {
        private final Request request;
        private final Response response;
        private final byte[] body;
        private boolean streaming;

        private Call(Request request, Response response, byte[] body) {
            this.request = request;
            this.response = response;
            this.body = body;
        }

        /**
         * Returns the method and the path.
         *
         * @return such as {@code GET /v1/vms/mill-brook}
         */
        public String target() {
            return request.getMethod() + " " + Request.getPathInContext(request);
        }

        /**
         * Returns the body.
         *
         * @return the whole body
         */
        public byte[] body() {
            return body;
        }

        /**
         * Reads a number from the query.
         *
         * @param name name of the parameter
         * @param fallback value if it is absent
         * @return the number
         */
        public long query(String name, long fallback) {
            Fields.Field f = Request.extractQueryParameters(request).get(name);
            return f == null ? fallback : Long.parseLong(f.getValue());
        }

        /**
         * Reads a text from the query.
         *
         * @param name name of the parameter
         * @return its value, empty if it is absent
         */
        public String query(String name) {
            Fields.Field f = Request.extractQueryParameters(request).get(name);
            return f == null ? "" : f.getValue();
        }

        /**
         * Reads a header.
         *
         * @param name name of the header
         * @param fallback value if it is absent
         * @return its value
         */
        public String header(String name, String fallback) {
            HttpField f = request.getHeaders().getField(name);
            return f == null ? fallback : f.getValue();
        }

        /**
         * Sends a part of a streamed answer and waits until it has left.
         *
         * @param contentType media type, sent with the first part
         * @param text the part
         * @throws IOException if the caller has gone
         */
        public void stream(String contentType, String text) throws IOException {
            if (!streaming) {
                streaming = true;
                response.getHeaders().put("Content-Type", contentType);
            }
            Content.Sink.write(response, false, ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
        }
    }

    private static final class PagesHandler extends Handler.Abstract {
        private final Pages pages;

        private PagesHandler(Pages pages) {
            this.pages = pages;
        }

        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            try {
                byte[] body = BufferUtil.toArray(Content.Source.asByteBuffer(request));
                Call call = new Call(request, response, body);
                Reply reply = pages.serve(call);
                if (!call.streaming) {
                    response.setStatus(reply.status());
                    response.getHeaders().put("Content-Type", "application/json");
                    if (reply.revision() >= 0) {
                        response.getHeaders().put("Revision", reply.revision());
                    }
                }
                response.write(true, ByteBuffer.wrap(reply.body()), callback);
            } catch (IOException e) {
                request.getConnectionMetaData().getConnection().getEndPoint().close();
                callback.failed(e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                callback.failed(e);
            }
            return true;
        }
    }
}
