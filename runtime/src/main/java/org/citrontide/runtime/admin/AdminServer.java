package org.citrontide.runtime.admin;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** Serves {@code /livez}, {@code /readyz} and {@code /metrics} on an address of their own. Safe for many threads. */
public final class AdminServer implements AutoCloseable {
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int UNAVAILABLE = 503;
    private static final int MAX_THREADS = 5;

    private final Server server;

    /**
     * Starts the server.
     *
     * @param address IP number and port
     * @param registry the metrics to show
     * @param ready whether this process takes work
     * @throws IOException if the address can't be used
     */
    public AdminServer(InetSocketAddress address, PrometheusRegistry registry, BooleanSupplier ready)
            throws IOException {
        server = new Server(new QueuedThreadPool(MAX_THREADS, 1));
        HttpConfiguration configuration = new HttpConfiguration();
        configuration.setSendServerVersion(false);
        configuration.setHeaderCacheSize(0);
        ServerConnector connector = new ServerConnector(server, 1, 1, new HttpConnectionFactory(configuration));
        connector.setHost(address.getHostString());
        connector.setPort(address.getPort());
        server.addConnector(connector);
        server.setHandler(new Pages(registry, ready));
        try {
            server.start();
        } catch (IOException e) {
            throw e;
        } catch (Exception e) {
            throw new IOException("can't serve on " + address, e);
        }
    }

    @Override
    public void close() {
        try {
            server.stop();
        } catch (Exception e) {
            throw new IllegalStateException("the admin server did not stop", e);
        }
    }

    private static final class Pages extends Handler.Abstract {
        private final PrometheusRegistry registry;
        private final BooleanSupplier ready;

        private Pages(PrometheusRegistry registry, BooleanSupplier ready) {
            this.registry = registry;
            this.ready = ready;
        }

        @Override
        public boolean handle(Request request, Response response, Callback callback) throws IOException {
            switch (Request.getPathInContext(request)) {
                case "/livez" -> text(response, OK, "live\n", callback);
                case "/readyz" -> {
                    boolean isReady = ready.getAsBoolean();
                    text(response, isReady ? OK : UNAVAILABLE, isReady ? "ready\n" : "not ready\n", callback);
                }
                case "/metrics" -> {
                    ByteArrayOutputStream out = new ByteArrayOutputStream();
                    PrometheusTextFormatWriter.create().write(out, registry.scrape());
                    text(response, OK, out.toString(StandardCharsets.UTF_8), callback);
                }
                default -> text(response, NOT_FOUND, "unknown page\n", callback);
            }
            return true;
        }

        private static void text(Response response, int status, String body, Callback callback) {
            response.setStatus(status);
            response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/plain; charset=utf-8");
            response.write(true, ByteBuffer.wrap(body.getBytes(StandardCharsets.UTF_8)), callback);
        }
    }
}
