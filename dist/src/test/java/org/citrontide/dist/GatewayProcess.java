package org.citrontide.dist;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

import org.citrontide.fakes.net.TestPorts;
import org.citrontide.fakes.platform.FakeHttpUpstream;
import org.citrontide.fakes.platform.FakePlatformStore;

/**
 * A gateway in a process of its own with lowered limits, a fake store, an upstream that answers, and one whose
 * responses have no end.
 *
 * <p>Confined to the thread of its test.
 */
final class GatewayProcess implements AutoCloseable {
    // The heap and the limit on bodies are 3/8 of the deployed ones, the limit on heads and the direct memory are the
    // deployed ones.
    static final int HEAP_MB = 24;
    static final int DIRECT_MB = 24;
    static final int MAX_BODY_BYTES = 1536 * 1024;
    static final int MAX_HEADER_BYTES = 16_384;

    private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();
    private static final Duration START_TIMEOUT = Duration.ofSeconds(40);
    // Keeps a test from hanging; not a bound on the time of a response.
    private static final int RESPONSE_TIMEOUT_MS = 30_000;
    private static final int BYTES_PER_KB = 1024;

    final FakeHttpUpstream upstream;
    private final FakeHttpUpstream endlessUpstream;
    private final FakePlatformStore store = new FakePlatformStore();
    private final Path directory = Files.createTempDirectory("citrontide-gateway");
    private final int callerPort = TestPorts.allocate();
    private final int adminPort = TestPorts.allocate();
    private final Process process;

    /** Starts the process without waiting for it, so that a test can close one that does not become ready. */
    GatewayProcess() throws IOException {
        upstream = new FakeHttpUpstream("a", (r, reply) -> reply.writeResponse("200 OK", "ok"));
        endlessUpstream = new FakeHttpUpstream("b", (r, reply) -> {
            boolean isStream = r.requestLine().contains("/stream/");
            reply.writeHead(
                    "200 OK",
                    (isStream ? "Content-Type: text/event-stream\r\n" : "") + "Transfer-Encoding: chunked\r\n");
            String event = "data: " + "x".repeat(8000) + "\n\n";
            while (true) {
                reply.writeChunk(event);
            }
        });
        store.put("servers/a", upstream.entry("svc", "ready"));
        store.put("servers/b", endlessUpstream.entry("endless", "ready"));
        store.put("op/config", configuration());
        process = start();
    }

    /** Waits until the gateway has read the store and serves requests. */
    void awaitReady() throws IOException, InterruptedException {
        await("the gateway is ready", () -> status(adminPort, "GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n") == 200);
        await("the gateway knows its upstreams", () -> ordinaryRequestStatus() == 200);
        upstream.requests().clear();
    }

    int callerPort() {
        return callerPort;
    }

    /** Returns the status of a small request on a new connection, -1 if it gets no response. */
    int ordinaryRequestStatus() {
        return status(callerPort, requestLine("look") + "Content-Length: 0\r\n\r\n");
    }

    /** Returns the first line and the usual headers of a request to a route, without the end of the head. */
    static String requestLine(String route) {
        return requestLine(route, "Authorization: Bearer key-1\r\n");
    }

    static String requestLine(String route, String authorization) {
        return "POST /" + route + "/ HTTP/1.1\r\nHost: h.example\r\nCitrontide-Attempt-Id: id-" + System.nanoTime()
                + "\r\nCitrontide-Deadline-Ms: 60000\r\n" + authorization;
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Returns the peak of the resident memory in MB, or throws if the process has ended. */
    long peakMemoryMb() throws IOException {
        String line = Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
                .filter(l -> l.startsWith("VmHWM:"))
                .findFirst()
                .orElseThrow(() -> new IOException("the process has ended"));
        return Long.parseLong(line.replaceAll("\\D", "")) / BYTES_PER_KB;
    }

    long openDescriptors() throws IOException {
        try (Stream<Path> files = Files.list(Path.of("/proc/" + process.pid() + "/fd"))) {
            return files.count();
        }
    }

    /** Returns the exit code if the process ends within 2 s, and the last lines of its log. */
    String state() throws IOException, InterruptedException {
        // A process that is out of memory still exists for a moment after its connections are closed.
        process.waitFor(2, TimeUnit.SECONDS);
        List<String> log = Files.readAllLines(directory.resolve("gateway.log"));
        return (process.isAlive() ? "alive" : "exit code " + process.exitValue()) + "\n"
                + String.join("\n", log.subList(Math.max(0, log.size() - 5), log.size()));
    }

    @Override
    public void close() throws Exception {
        process.destroyForcibly().waitFor();
        upstream.close();
        endlessUpstream.close();
        store.close();
        try (Stream<Path> files = Files.walk(directory)) {
            files.sorted(Comparator.reverseOrder()).forEach(p -> p.toFile().delete());
        }
    }

    /** Sends a request on a new connection and returns the status of the response, -1 if there is none. */
    private static int status(int port, String request) {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(RESPONSE_TIMEOUT_MS);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            byte[] start = socket.getInputStream().readNBytes("HTTP/1.1 200".length());
            String line = new String(start, StandardCharsets.ISO_8859_1);
            return line.startsWith("HTTP/1.1 ") ? Integer.parseInt(line.substring("HTTP/1.1 ".length())) : -1;
        } catch (IOException e) {
            return -1;
        }
    }

    private Process start() throws IOException {
        Path settings = directory.resolve("gateway.toml");
        Files.writeString(
                settings,
                "vm = \"vm1\"\nzone = \"z1\"\ncaller_address = \"127.0.0.1:" + callerPort
                        + "\"\nadmin_address = \"127.0.0.1:" + adminPort + "\"\nstore_address = \"127.0.0.1:"
                        + store.port() + "\"\n");
        ProcessBuilder b =
                new ProcessBuilder(ROOT.resolve("bin/citrontide").toString(), "gateway", settings.toString());
        b.environment().put("CITRONTIDE_HEAP", HEAP_MB + "m");
        b.environment()
                .put(
                        "CITRONTIDE_JVM_FLAGS",
                        "-XX:MaxDirectMemorySize=" + DIRECT_MB + "m -Dio.netty.allocator.maxOrder=3");
        b.redirectErrorStream(true);
        b.redirectOutput(directory.resolve("gateway.log").toFile());
        return b.start();
    }

    /** The timeouts are long, so that on a slow machine too the memory is the bound that a crowd reaches. */
    private static String configuration() {
        return "{\"version\":1,\"routes\":[" + route("look", "safe", "svc", "") + ","
                + route("endless", "safe", "endless", "") + ","
                + route("stream", "streaming", "endless", ",\"can_resume\":true,\"target_gap_ms\":120")
                + "],\"services\":[{\"name\":\"svc\",\"max_connections\":50},"
                + "{\"name\":\"endless\",\"max_connections\":50}],\"limits\":{\"max_header_bytes\":" + MAX_HEADER_BYTES
                + ",\"max_body_bytes\":" + MAX_BODY_BYTES + ",\"header_timeout_ms\":120000,\"idle_timeout_ms\":120000},"
                + "\"tenants\":[{\"name\":\"rangers\",\"api_keys\":[\"key-1\"]}]}";
    }

    private static String route(String name, String kind, String service, String extraFields) {
        return "{\"name\":\"" + name + "\",\"hostname\":\"h.example\",\"prefix\":\"/" + name + "/\",\"kind\":\"" + kind
                + "\",\"timeout_ms\":60000,\"target_latency_ms\":400,\"priority\":1,\"service\":\"" + service
                + "\",\"max_attempts\":1" + extraFields + "}";
    }

    private void await(String what, BooleanSupplier condition) throws IOException, InterruptedException {
        long end = System.nanoTime() + START_TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new IllegalStateException("timed out waiting until " + what + ": " + state());
            }
            TimeUnit.MILLISECONDS.sleep(50);
        }
    }
}
