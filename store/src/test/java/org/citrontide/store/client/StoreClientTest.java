package org.citrontide.store.client;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import org.citrontide.fakes.platform.FakeHttpUpstream;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

/** Calls a store whose responses violate the grammar of HTTP. */
final class StoreClientTest {
    private static final int MAX_THREADS = 4;
    private static final int MAX_CONNECTIONS = 4;
    private static final long TIMEOUT_SECONDS = 10;

    @Test
    void wholeResponseIsAReply() throws Exception {
        String response = "HTTP/1.1 200 OK\r\nRevision: 7\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nown\r\n0\r\n\r\n";
        StoreReply.Value reply = assertInstanceOf(StoreReply.Value.class, reply(response, c -> c.get("k")));
        assertEquals(7, reply.revision());
        assertEquals(new StoreReply.Written(7), reply(response, c -> c.put("k", 6, new byte[1])));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "000 Broken\r\nContent-Length: 0\r\n\r\n",
                "099 Broken\r\nContent-Length: 0\r\n\r\n",
                "600 Broken\r\nContent-Length: 0\r\n\r\n",
                "200 OK\r\nRevision : 7\r\nContent-Length: 3\r\n\r\nown",
                "404 Not Found\r\nX\u0000: a\r\nContent-Length: 0\r\n\r\n",
                "409 Conflict\r\nX Y: a\r\nContent-Length: 0\r\n\r\n",
                "429 Too Many Requests\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
                "200 OK\r\nRevision: 7\r\nTransfer-Encoding: gzip, chunked\r\n\r\n3\r\nown\r\n0\r\n\r\n"
            })
    void malformedResponseIsNoReplyAndLeavesAWriteUncertain(String response) throws Exception {
        StoreReply read = reply("HTTP/1.1 " + response, c -> c.get("k"));
        assertEquals(false, assertInstanceOf(StoreReply.Failed.class, read).mayHaveTakenEffect());
        StoreReply write = reply("HTTP/1.1 " + response, c -> c.put("k", 6, new byte[1]));
        assertEquals(true, assertInstanceOf(StoreReply.Failed.class, write).mayHaveTakenEffect());
    }

    private static StoreReply reply(String response, Function<StoreClient, CompletableFuture<StoreReply>> call)
            throws Exception {
        HttpClient client = HttpClients.start("store-client", MAX_THREADS, MAX_CONNECTIONS);
        try (FakeHttpUpstream store = new FakeHttpUpstream("a", (r, reply) -> {
            reply.write(response);
            reply.awaitClose();
        })) {
            String port = store.entry("svc", "ready").replaceAll(".*127.0.0.1:([0-9]+).*", "$1");
            InetSocketAddress address = new InetSocketAddress("127.0.0.1", Integer.parseInt(port));
            return call.apply(new StoreClient(client, List.of(address))).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } finally {
            client.stop();
        }
    }
}
