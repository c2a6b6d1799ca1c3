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
 * Speaks to the platform's key-value service over HTTP, as {@code docs/STORE-PROTOCOL.md} describes it.
 *
 * <p>Invariant: every call ends within its time-out, and the futures never fail: a failure is a {@link
 * StoreReply.Failed} that says whether the call may have taken effect. Safe for use by many threads.
 */
public final class StoreClient {
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
    private static final int THREADS = 4;
    private static final int CONNECTIONS = 16;
    private static final int MAX_REPLY_BYTES = 8 * 1024 * 1024;
    private static final int OK = 200;
    private static final int NOT_MODIFIED = 304;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int TOO_LARGE = 413;
    private static final int TOO_MANY = 429;
    private static final String REVISION = "Revision";
    private static final String EXPECTED_REVISION = "Expected-Revision";
    private static final ObjectMapper JSON = new ObjectMapper();

    private final HttpClient client;
    private final List<InetSocketAddress> addresses;
    private final AtomicInteger preferred = new AtomicInteger();

    /**
     * Makes a client.
     *
     * @param client started HTTP client
     * @param addresses addresses of the service; the next one is used after a failure
     */
    public StoreClient(HttpClient client, List<InetSocketAddress> addresses) {
        this.client = client;
        this.addresses = List.copyOf(addresses);
    }

    /**
     * Starts an HTTP client of its own and makes a client that uses it.
     *
     * @param addresses addresses of the service; the next one is used after a failure
     * @return the client
     * @throws IOException if the HTTP client can't start
     */
    public static StoreClient connect(List<InetSocketAddress> addresses) throws IOException {
        return new StoreClient(HttpClients.start("store-client", THREADS, CONNECTIONS), addresses);
    }

    /**
     * Reads a value.
     *
     * @param key its key
     * @return {@link StoreReply.Value}, {@link StoreReply.Missing} or {@link StoreReply.Failed}
     */
    public CompletableFuture<StoreReply> get(String key) {
        return call(HttpMethod.GET, "/v1/values/" + key, CALL_TIMEOUT, Optional.empty());
    }

    /**
     * Waits until a value has another revision than the one known.
     *
     * @param key its key
     * @param afterRevision revision known, 0 for none
     * @param wait longest time to wait
     * @return as {@link #get}, or {@link StoreReply.Unchanged}
     */
    public CompletableFuture<StoreReply> watch(String key, long afterRevision, Duration wait) {
        String path = "/v1/values/" + key + "?after=" + afterRevision + "&wait_ms=" + wait.toMillis();
        return call(HttpMethod.GET, path, wait.plus(CALL_TIMEOUT), Optional.empty());
    }

    /**
     * Writes a value if it has the expected revision.
     *
     * @param key its key
     * @param expectedRevision revision it must have, 0 if it must not exist
     * @param value its new bytes
     * @return {@link StoreReply.Written}, {@link StoreReply.Conflict} or {@link StoreReply.Failed}
     */
    public CompletableFuture<StoreReply> put(String key, long expectedRevision, byte[] value) {
        return call(HttpMethod.PUT, "/v1/values/" + key, CALL_TIMEOUT, Optional.of(new Write(expectedRevision, value)));
    }

    /**
     * Waits until the platform's list of one zone's VMs has another revision than the one known.
     *
     * @param zone the availability zone
     * @param afterRevision revision known, 0 for none
     * @param wait longest time to wait
     * @return the list, or empty if it did not change or the call failed
     */
    public CompletableFuture<Optional<VmList>> vms(String zone, long afterRevision, Duration wait) {
        String path = "/v1/vms/" + zone + "?after=" + afterRevision + "&wait_ms=" + wait.toMillis();
        return call(HttpMethod.GET, path, wait.plus(CALL_TIMEOUT), Optional.empty())
                .thenApply(StoreClient::vmList);
    }

    private CompletableFuture<StoreReply> call(
            HttpMethod method, String path, Duration timeout, Optional<Write> write) {
        CompletableFuture<StoreReply> future = new CompletableFuture<>();
        if (addresses.isEmpty()) {
            future.complete(new StoreReply.Failed(false, "no address of the store is set"));
            return future;
        }
        int index = preferred.get();
        InetSocketAddress a = addresses.get(index % addresses.size());
        AtomicBoolean begun = new AtomicBoolean();
        Request request = client.newRequest("http://" + a.getHostString() + ":" + a.getPort() + path)
                .method(method)
                .timeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
                .onRequestBegin(r -> begun.set(true));
        write.ifPresent(w -> request.headers(h -> h.put(EXPECTED_REVISION, w.expectedRevision()))
                .body(new BytesRequestContent("application/octet-stream", w.value())));
        request.send(new BufferingResponseListener(MAX_REPLY_BYTES) {
            @Override
            public void onComplete(Result result) {
                StoreReply reply = result.isFailed()
                        ? failed(write.isPresent() && begun.get(), result.getFailure())
                        : reply(write.isPresent(), result, getContent());
                if (reply instanceof StoreReply.Failed) {
                    preferred.compareAndSet(index, index + 1);
                }
                future.complete(reply);
            }
        });
        return future;
    }

    private static StoreReply failed(boolean sentWrite, Throwable cause) {
        boolean mayHaveTakenEffect = sentWrite && !(cause instanceof ConnectException);
        return new StoreReply.Failed(mayHaveTakenEffect, String.valueOf(cause));
    }

    private static StoreReply reply(boolean isWrite, Result result, byte[] content) {
        int status = result.getResponse().getStatus();
        long revision = Math.max(0, result.getResponse().getHeaders().getLongField(REVISION));
        return switch (status) {
            case OK ->
                isWrite
                        ? new StoreReply.Written(revision)
                        : new StoreReply.Value(revision, content == null ? new byte[0] : content);
            case NOT_MODIFIED -> new StoreReply.Unchanged();
            case NOT_FOUND -> new StoreReply.Missing();
            case CONFLICT -> new StoreReply.Conflict();
            case TOO_MANY, TOO_LARGE -> new StoreReply.Failed(false, "status " + status);
            default -> new StoreReply.Failed(isWrite, "status " + status);
        };
    }

    private static Optional<VmList> vmList(StoreReply reply) {
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
     * One copy of the platform's list for a zone. Immutable.
     *
     * @param revision its revision
     * @param vms the VMs of the zone
     */
    public record VmList(long revision, List<ListedVm> vms) {

        /** Copies the list. */
        public VmList {
            vms = List.copyOf(vms);
        }
    }

    private record Write(long expectedRevision, byte[] value) {}
}
