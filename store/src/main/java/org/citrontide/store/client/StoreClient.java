package org.citrontide.store.client;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.citrontide.core.membership.ListedVm;
import org.citrontide.core.membership.UpstreamId;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpMethod;

/**
 * Client of the platform's key-value service over HTTP; {@code docs/STORE-PROTOCOL.md} specifies the protocol.
 *
 * <p>Invariant: every call ends within its timeout, and the futures never complete exceptionally: a failure is a {@link
 * StoreReply.Failed} that says whether the call may have taken effect. Thread-safe.
 */
public final class StoreClient {
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
    private static final int MAX_THREADS = 4;
    private static final int MAX_CONNECTIONS = 16;
    private static final int MAX_REPLY_BYTES = 8 * 1024 * 1024;
    private static final int OK = 200;
    private static final int NOT_MODIFIED = 304;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int CONTENT_TOO_LARGE = 413;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final String REVISION = "Revision";
    private static final String EXPECTED_REVISION = "Expected-Revision";
    private static final ObjectMapper JSON = new ObjectMapper();

    private final HttpClient client;
    private final List<InetSocketAddress> addresses;
    private final AtomicInteger preferredAddressIndex = new AtomicInteger();

    /**
     * Creates a client.
     *
     * @param client started HTTP client
     * @param addresses addresses of the service; a failed call makes the next address the preferred one
     */
    public StoreClient(HttpClient client, List<InetSocketAddress> addresses) {
        this.client = client;
        this.addresses = List.copyOf(addresses);
    }

    /**
     * Creates a client with its own HTTP client.
     *
     * @param addresses addresses of the service; a failed call makes the next address the preferred one
     * @return the client
     * @throws IOException if the HTTP client can't be started
     */
    public static StoreClient connect(List<InetSocketAddress> addresses) throws IOException {
        return new StoreClient(HttpClients.start("store-client", MAX_THREADS, MAX_CONNECTIONS), addresses);
    }

    /**
     * Reads a value.
     *
     * @param key key of the value
     * @return {@link StoreReply.Value}, {@link StoreReply.NotFound} or {@link StoreReply.Failed}
     */
    public CompletableFuture<StoreReply> get(String key) {
        return call(HttpMethod.GET, "/v1/values/" + key, CALL_TIMEOUT, Optional.empty());
    }

    /**
     * Watches a value: waits until its revision differs from the known one.
     *
     * @param key key of the value
     * @param afterRevision known revision, 0 for none
     * @param wait maximum time to wait
     * @return the same replies as {@link #get}, or {@link StoreReply.NotModified}
     */
    public CompletableFuture<StoreReply> watch(String key, long afterRevision, Duration wait) {
        String path = "/v1/values/" + key + "?after=" + afterRevision + "&wait_ms=" + wait.toMillis();
        return call(HttpMethod.GET, path, wait.plus(CALL_TIMEOUT), Optional.empty());
    }

    /**
     * Writes a value by compare-and-set on its revision.
     *
     * @param key key of the value
     * @param expectedRevision revision that the value must have, 0 if it must not exist
     * @param value the new value
     * @return {@link StoreReply.Written}, {@link StoreReply.Conflict} or {@link StoreReply.Failed}
     */
    public CompletableFuture<StoreReply> put(String key, long expectedRevision, byte[] value) {
        return call(
                HttpMethod.PUT,
                "/v1/values/" + key,
                CALL_TIMEOUT,
                Optional.of(new WriteRequest(expectedRevision, value)));
    }

    /**
     * Watches the platform's list of the VMs of a zone: waits until its revision differs from the known one.
     *
     * @param zone the availability zone
     * @param afterRevision known revision, 0 for none
     * @param wait maximum time to wait
     * @return the list, or empty if it did not change, the call failed or the reply is malformed
     */
    public CompletableFuture<Optional<VmList>> watchVmList(String zone, long afterRevision, Duration wait) {
        String path = "/v1/vms/" + zone + "?after=" + afterRevision + "&wait_ms=" + wait.toMillis();
        return call(HttpMethod.GET, path, wait.plus(CALL_TIMEOUT), Optional.empty())
                .thenApply(StoreClient::parseVmList);
    }

    private CompletableFuture<StoreReply> call(
            HttpMethod method, String path, Duration timeout, Optional<WriteRequest> write) {
        CompletableFuture<StoreReply> future = new CompletableFuture<>();
        if (addresses.isEmpty()) {
            future.complete(new StoreReply.Failed(false, "no store address is configured"));
            return future;
        }
        int index = preferredAddressIndex.get();
        InetSocketAddress address = addresses.get(index % addresses.size());
        AtomicBoolean requestStarted = new AtomicBoolean();
        Request request = ResponseCheck.addTo(
                        client.newRequest("http://" + address.getHostString() + ":" + address.getPort() + path))
                .method(method)
                .timeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
                .onRequestBegin(r -> requestStarted.set(true));
        write.ifPresent(w -> request.headers(h -> h.put(EXPECTED_REVISION, w.expectedRevision()))
                .body(new BytesRequestContent("application/octet-stream", w.value())));
        request.send(new BufferingResponseListener(MAX_REPLY_BYTES) {
            @Override
            public void onComplete(Result result) {
                StoreReply reply = result.isFailed()
                        ? failedReply(write.isPresent() && requestStarted.get(), result.getFailure())
                        : toReply(write.isPresent(), result, getContent());
                if (reply instanceof StoreReply.Failed) {
                    preferredAddressIndex.compareAndSet(index, index + 1);
                }
                future.complete(reply);
            }
        });
        return future;
    }

    private static StoreReply failedReply(boolean isWriteSent, Throwable cause) {
        boolean mayHaveTakenEffect = isWriteSent && !(cause instanceof ConnectException);
        return new StoreReply.Failed(mayHaveTakenEffect, String.valueOf(cause));
    }

    private static StoreReply toReply(boolean isWrite, Result result, byte[] content) {
        int status = result.getResponse().getStatus();
        long revision = Math.max(0, result.getResponse().getHeaders().getLongField(REVISION));
        return switch (status) {
            case OK ->
                isWrite
                        ? new StoreReply.Written(revision)
                        : new StoreReply.Value(revision, content == null ? new byte[0] : content);
            case NOT_MODIFIED -> new StoreReply.NotModified();
            case NOT_FOUND -> new StoreReply.NotFound();
            case CONFLICT -> new StoreReply.Conflict();
            case TOO_MANY_REQUESTS, CONTENT_TOO_LARGE -> new StoreReply.Failed(false, "status " + status);
            default -> new StoreReply.Failed(isWrite, "status " + status);
        };
    }

    private static Optional<VmList> parseVmList(StoreReply reply) {
        if (!(reply instanceof StoreReply.Value v)) {
            return Optional.empty();
        }
        try {
            List<ListedVm> vms = new ArrayList<>();
            for (JsonNode n : JSON.readTree(v.value())) {
                UpstreamId id =
                        new UpstreamId(n.path("host").asText(), n.path("port").asInt());
                vms.add(new ListedVm(
                        n.path("vm").asText(),
                        n.path("zone").asText(),
                        n.path("service").asText(),
                        id,
                        n.path("leaving").asBoolean()));
            }
            return Optional.of(new VmList(v.revision(), vms));
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /**
     * A revision of the platform's list of the VMs of a zone. Immutable.
     *
     * @param revision revision of the list
     * @param vms the VMs of the zone
     */
    public record VmList(long revision, List<ListedVm> vms) {

        /** Creates a list with an unmodifiable copy of the VMs. */
        public VmList {
            vms = List.copyOf(vms);
        }
    }

    private record WriteRequest(long expectedRevision, byte[] value) {}
}
