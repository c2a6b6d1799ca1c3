package org.citrontide.store.client;

import java.io.IOException;

import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** Makes HTTP clients that fit a small process. Stateless and safe for use by many threads. */
public final class HttpClients {
    private static final int CONNECT_TIMEOUT_MS = 1000;
    private static final int IDLE_TIMEOUT_MS = 60_000;

    private HttpClients() {}

    /**
     * Starts a client that neither follows redirects nor keeps cookies.
     *
     * @param name name of its threads
     * @param threads most threads
     * @param connections most connections to one address
     * @return the started client
     * @throws IOException if it can't start
     */
    public static HttpClient start(String name, int threads, int connections) throws IOException {
        QueuedThreadPool pool = new QueuedThreadPool(threads, 1);
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
        client.setMaxConnectionsPerDestination(connections);
        client.setMaxRequestsQueuedPerDestination(connections);
        client.setFollowRedirects(false);
        client.getContentDecoderFactories().clear();
        try {
            client.start();
        } catch (IOException e) {
            throw e;
        } catch (Exception e) {
            throw new IOException("the HTTP client did not start", e);
        }
        client.getProtocolHandlers().clear();
        return client;
    }
}
