package org.citrontide.gateway.store;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.citrontide.fakes.platform.FakeHttpUpstream;
import org.citrontide.platform.PlatformCall;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Plays random sequences of responses that are whole, cut, repeated, glued or in pieces against the client: each call
 * ends once, with its own whole response or plainly failed.
 *
 * <p>A whole response to an earlier call, or a part of its body, that arrives by itself after the next call was written
 * can't be told from the response to that call, so that the sequences have none.
 */
final class SpoiledResponsesTest {
    // More seeds: -Dspoiled.responses.seeds=1000
    private static final long SEEDS = Long.getLong("spoiled.responses.seeds", 10);
    // Each seed that ever failed.
    private static final List<Long> FAILED_BEFORE =
            List.of(2L, 3L, 5L, 6L, 7L, 8L, 9L, 10L, 11L, 12L, 13L, 14L, 16L, 17L, 18L, 19L, 21L, 22L, 23L, 24L, 25L);
    private static final int CALLS = 40;
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final Duration MAX_WAIT = Duration.ofSeconds(10);
    private static final List<String> STATUSES =
            List.of("200 OK", "500 Internal Server Error", "429 Too Many Requests", "409 Conflict");

    private final Map<Thread, String> lastByConnection = new ConcurrentHashMap<>();

    /** What happens to the response to one call. */
    private enum Spoiling {
        NONE,
        PIECES,
        CUT_AND_CLOSED,
        FOLLOWED_AT_ONCE,
        FOLLOWED_LATE,
        PRECEDED_AT_ONCE,
        PRECEDED_IN_PIECES
    }

    @Test
    void eachCallEndsWithItsOwnWholeResponseOrFails() throws Exception {
        MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        List<String> wrong = new ArrayList<>();
        int delivered = 0;
        int calls = 0;
        try (FakeHttpUpstream server = new FakeHttpUpstream("a", (r, reply) -> answer(r.requestLine(), reply))) {
            String entry = server.entry("svc", "ready");
            InetSocketAddress address = new InetSocketAddress(
                    "127.0.0.1", Integer.parseInt(entry.replaceAll(".*127.0.0.1:([0-9]+).*", "$1")));
            EventLoop loop = loops.next();
            long[] seeds = LongStream.concat(
                            FAILED_BEFORE.stream().mapToLong(Long::longValue), LongStream.rangeClosed(1, SEEDS))
                    .distinct()
                    .toArray();
            for (long seed : seeds) {
                PlatformClient client = PlatformClient.forEngines(loop);
                for (int number = 0; number < CALLS; number++) {
                    calls++;
                    String outcome = outcome(loop, client, address, seed, number);
                    delivered += outcome.equals(expected(seed, number)) ? 1 : 0;
                    if (!outcome.equals(expected(seed, number)) && !outcome.equals("failed")) {
                        wrong.add("seed " + seed + " call " + number + " " + spoiling(random(seed, number)) + ": "
                                + outcome);
                    }
                }
            }
        } finally {
            loops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        }
        assertEquals(List.of(), wrong);
        assertTrue(delivered > calls / 3, delivered + " of " + calls + " calls have their response");
    }

    private static String outcome(
            EventLoop loop, PlatformClient client, InetSocketAddress address, long seed, int number) throws Exception {
        PlatformCall call = PlatformCall.get("/" + seed + "/" + number);
        return CompletableFuture.supplyAsync(() -> client.call(address, call, TIMEOUT), loop)
                .thenCompose(f -> f)
                .handle((r, failure) -> failure == null
                        ? r.status() + " " + new String(r.body(), StandardCharsets.US_ASCII)
                        : isPlain(failure) ? "failed" : failure.toString())
                .get(MAX_WAIT.toSeconds(), TimeUnit.SECONDS);
    }

    private static boolean isPlain(Throwable failure) {
        return failure instanceof IOException || failure.getCause() instanceof IOException;
    }

    private void answer(String requestLine, FakeHttpUpstream.Reply reply) throws IOException, InterruptedException {
        String[] path = requestLine.split("[/ ]+");
        long seed = Long.parseLong(path[1]);
        int number = Integer.parseInt(path[2]);
        SplittableRandom random = random(seed, number);
        Spoiling spoiling = spoiling(random);
        String own = response(seed, number);
        // Another response: the last one of this connection once more, or one that no call asked for.
        String last = lastByConnection.put(Thread.currentThread(), own);
        String other = last != null && random.nextBoolean() ? last : response(seed, -1 - random.nextInt(5));
        String cutInHead = other.substring(0, 1 + random.nextInt(other.indexOf("\r\n\r\n") + 3));
        String cut = other.substring(0, 1 + random.nextInt(other.length()));
        switch (spoiling) {
            case NONE -> reply.write(own);
            case PIECES -> writePieces(reply, own);
            case CUT_AND_CLOSED -> {
                reply.write(own.substring(0, random.nextInt(own.length())));
                throw new IOException("the end of the connection");
            }
            case FOLLOWED_AT_ONCE -> reply.write(own + cut);
            case FOLLOWED_LATE -> {
                reply.write(own);
                TimeUnit.MICROSECONDS.sleep(random.nextInt(2000));
                reply.write(cutInHead);
            }
            case PRECEDED_AT_ONCE -> reply.write(cut + own);
            case PRECEDED_IN_PIECES -> writePieces(reply, cutInHead + own);
            default -> throw new IllegalStateException();
        }
    }

    private static void writePieces(FakeHttpUpstream.Reply reply, String text) throws IOException {
        for (int i = 0; i < text.length(); i++) {
            reply.write(text.substring(i, i + 1));
        }
    }

    private static SplittableRandom random(long seed, int number) {
        return new SplittableRandom(seed * 1_000_003 + number);
    }

    private static Spoiling spoiling(SplittableRandom random) {
        Spoiling[] all = Spoiling.values();
        return random.nextInt(3) == 0 ? all[random.nextInt(all.length)] : Spoiling.NONE;
    }

    private static String expected(long seed, int number) {
        return status(seed, number).substring(0, 3) + " " + body(seed, number);
    }

    private static String status(long seed, int number) {
        return STATUSES.get(new SplittableRandom(seed * 31 + number).nextInt(STATUSES.size()));
    }

    private static String body(long seed, int number) {
        String body = "{\"seed\":" + seed + ",\"number\":" + number + "}";
        return body + " ".repeat(new SplittableRandom(seed * 37 + number).nextInt(60));
    }

    private static String response(long seed, int number) {
        String body = body(seed, number);
        String head = "HTTP/1.1 " + status(seed, number) + "\r\nContent-Type: application/json\r\n";
        return new SplittableRandom(seed * 41 + number).nextInt(3) > 0
                ? head + "Content-Length: " + body.length() + "\r\n\r\n" + body
                : head + "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(body.length()) + "\r\n" + body
                        + "\r\n0\r\n\r\n";
    }
}
