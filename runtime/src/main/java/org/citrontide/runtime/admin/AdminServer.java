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

/** Serves {@code /livez}, {@code /readyz} and {@code /metrics} on a separate address. Thread-safe. */
public final class AdminServer implements AutoCloseable {
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int UNAVAILABLE = 503;
    private static final int MAX_THREADS = 5;

    private final Server server;

    /**
     * Starts the server.
     *
     * @param address IP address and port to listen on
     * @param registry the metrics that {@code /metrics} returns
     * @param ready whether this process accepts requests; decides the status of {@code /readyz}
     * @throws IOException if the server can't listen on the address
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
        server.setHandler(new AdminHandler(registry, ready));
        try {
            server.start();
        } catch (IOException e) {
            throw e;
        } catch (Exception e) {
            throw new IOException("admin server failed to start on " + address, e);
        }
    }

    @Override
    public void close() {
        try {
            server.stop();
        } catch (Exception e) {
            throw new IllegalStateException("admin server failed to stop", e);
        }
    }

    private static final class AdminHandler extends Handler.Abstract {
        private final PrometheusRegistry registry;
        private final BooleanSupplier ready;

        private AdminHandler(PrometheusRegistry registry, BooleanSupplier ready) {
            this.registry = registry;
            this.ready = ready;
        }

        @Override
        public boolean handle(Request request, Response response, Callback callback) throws IOException {
            switch (Request.getPathInContext(request)) {
                case "/livez" -> writeText(response, OK, "live\n", callback);
                case "/readyz" -> {
                    boolean isReady = ready.getAsBoolean();
                    writeText(response, isReady ? OK : UNAVAILABLE, isReady ? "ready\n" : "not ready\n", callback);
                }
                case "/metrics" -> {
                    ByteArrayOutputStream out = new ByteArrayOutputStream();
                    PrometheusTextFormatWriter.create().write(out, registry.scrape());
                    writeText(response, OK, out.toString(StandardCharsets.UTF_8), callback);
                }
                default -> writeText(response, NOT_FOUND, "unknown page\n", callback);
            }
            return true;
        }

        private static void writeText(Response response, int status, String body, Callback callback) {
            response.setStatus(status);
            response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/plain; charset=utf-8");
            response.write(true, ByteBuffer.wrap(body.getBytes(StandardCharsets.UTF_8)), callback);
        }
    }
}
