package org.citrontide.store.client;

import java.io.IOException;

import org.eclipse.jetty.client.ContinueProtocolHandler;
import org.eclipse.jetty.client.EarlyHintsProtocolHandler;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.ProcessingProtocolHandler;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** Creates HTTP clients with a small memory footprint. Stateless and thread-safe. */
public final class HttpClients {
    private static final int CONNECT_TIMEOUT_MS = 1000;
    private static final int IDLE_TIMEOUT_MS = 60_000;

    private HttpClients() {}

    /**
     * Starts a client that skips interim responses (100, 102 and 103), doesn't follow redirects and doesn't decode
     * content.
     *
     * @param name name prefix of the client's threads
     * @param maxThreads maximum number of threads
     * @param maxConnections maximum number of connections, and of queued requests, per destination
     * @return the started client
     * @throws IOException if the client can't be started
     */
    public static HttpClient start(String name, int maxThreads, int maxConnections) throws IOException {
        QueuedThreadPool pool = new QueuedThreadPool(maxThreads, 1);
        pool.setName(name);
        pool.setDaemon(true);
        ClientConnector connector = new ClientConnector();
        connector.setSelectors(1);
        HttpClientTransportOverHTTP transport = new HttpClientTransportOverHTTP(connector);
        transport.setHeaderCacheSize(0);
        HttpClient client = new HttpClient(transport);
        client.setExecutor(pool);
        client.setConnectTimeout(CONNECT_TIMEOUT_MS);
        client.setIdleTimeout(IDLE_TIMEOUT_MS);
        client.setMaxConnectionsPerDestination(maxConnections);
        client.setMaxRequestsQueuedPerDestination(maxConnections);
        client.setFollowRedirects(false);
        client.getContentDecoderFactories().clear();
        try {
            client.start();
        } catch (IOException e) {
            throw e;
        } catch (Exception e) {
            throw new IOException("HTTP client failed to start", e);
        }
        client.getProtocolHandlers().clear();
        client.getProtocolHandlers().put(new ContinueProtocolHandler());
        client.getProtocolHandlers().put(new ProcessingProtocolHandler());
        client.getProtocolHandlers().put(new EarlyHintsProtocolHandler());
        return client;
    }
}
