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

/** A small HTTP server that runs each request on a virtual thread, so that handlers may block. Thread-safe. */
public final class FakeServer implements AutoCloseable {
    private static final int THREADS = 16;

    private final Server server;
    private final ServerConnector connector;

    /**
     * Starts the server.
     *
     * @param address IP address and port; port 0 selects a free port
     * @param requestHandler handler of the requests
     * @throws IOException if the server can't listen on the address
     */
    public FakeServer(InetSocketAddress address, RequestHandler requestHandler) throws IOException {
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
        server.setHandler(new RequestHandlerAdapter(requestHandler));
        try {
            server.start();
        } catch (IOException e) {
            throw e;
        } catch (Exception e) {
            throw new IOException("could not start a server on " + address, e);
        }
    }

    /**
     * Returns the TCP port on which the server listens.
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
            throw new IllegalStateException("could not stop the server", e);
        }
    }

    /** Handles the requests of a fake. Implementations are thread-safe. */
    public interface RequestHandler {

        /**
         * Handles one request. May block.
         *
         * @param call the request
         * @return the reply
         * @throws IOException to close the connection without a complete reply
         * @throws InterruptedException if the server stops
         */
        Reply serve(Call call) throws IOException, InterruptedException;
    }

    /**
     * An HTTP reply. Immutable; the array must not be modified.
     *
     * @param status HTTP status
     * @param revision value of the {@code Revision} header, negative to omit the header
     * @param body response body
     */
    public record Reply(int status, long revision, byte[] body) {
        private static final int OK = 200;

        /**
         * Creates a JSON reply.
         *
         * @param text JSON document
         * @return the reply with status 200
         */
        public static Reply json(String text) {
            return new Reply(OK, -1, text.getBytes(StandardCharsets.UTF_8));
        }

        /**
         * Creates a reply without a body.
         *
         * @param status HTTP status
         * @return the reply
         */
        public static Reply status(int status) {
            return new Reply(status, -1, new byte[0]);
        }
    }

    /** An HTTP request in progress. Confined to its thread. */
    public static final class Call {
        private final Request request;
        private final Response response;
        private final byte[] body;
        private boolean isStreaming;

        private Call(Request request, Response response, byte[] body) {
            this.request = request;
            this.response = response;
            this.body = body;
        }

        /**
         * Returns the method and the path.
         *
         * @return method and path separated by a space, for example {@code GET /v1/vms/mill-brook}
         */
        public String target() {
            return request.getMethod() + " " + Request.getPathInContext(request);
        }

        /**
         * Sets a header field of the reply.
         *
         * @param name name of the field
         * @param value value of the field
         */
        public void setHeader(String name, String value) {
            response.getHeaders().put(name, value);
        }

        /**
         * Returns the request body.
         *
         * @return the complete body
         */
        public byte[] body() {
            return body;
        }

        /**
         * Returns the value of a numeric query parameter.
         *
         * @param name name of the parameter
         * @param defaultValue value if the parameter is absent
         * @return the value
         */
        public long query(String name, long defaultValue) {
            Fields.Field f = Request.extractQueryParameters(request).get(name);
            return f == null ? defaultValue : Long.parseLong(f.getValue());
        }

        /**
         * Returns the value of a query parameter.
         *
         * @param name name of the parameter
         * @return the value, empty if the parameter is absent
         */
        public String query(String name) {
            Fields.Field f = Request.extractQueryParameters(request).get(name);
            return f == null ? "" : f.getValue();
        }

        /**
         * Returns the value of a header field.
         *
         * @param name name of the field
         * @param defaultValue value if the field is absent
         * @return the value
         */
        public String header(String name, String defaultValue) {
            HttpField f = request.getHeaders().getField(name);
            return f == null ? defaultValue : f.getValue();
        }

        /**
         * Writes a part of a streamed response. Blocks until the part is written.
         *
         * @param contentType media type, sent with the first part
         * @param text the part
         * @throws IOException if the connection is closed
         */
        public void stream(String contentType, String text) throws IOException {
            if (!isStreaming) {
                isStreaming = true;
                response.getHeaders().put("Content-Type", contentType);
            }
            Content.Sink.write(response, false, ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
        }
    }

    private static final class RequestHandlerAdapter extends Handler.Abstract {
        private final RequestHandler requestHandler;

        private RequestHandlerAdapter(RequestHandler requestHandler) {
            this.requestHandler = requestHandler;
        }

        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            try {
                byte[] body = BufferUtil.toArray(Content.Source.asByteBuffer(request));
                Call call = new Call(request, response, body);
                Reply reply = requestHandler.serve(call);
                if (!call.isStreaming) {
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
