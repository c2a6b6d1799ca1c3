package org.citrontide.dist;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

import org.citrontide.fakes.net.TestPorts;

/** A small deployment of real processes: a store, a booking service, engines, sidecars and entries. */
final class Deployment implements AutoCloseable {
    static final String KEY = "key-of-the-tests-0123456789";
    static final String TOKEN = "token-ashworth";

    private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();
    private static final String ZONE = "mill-brook";
    private static final Duration AWAIT_TIMEOUT = Duration.ofSeconds(40);

    final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(2))
            .build();
    final Path directory;
    private final Map<String, Process> processes = new HashMap<>();
    private final Map<String, Integer> ports = new HashMap<>();
    private final List<String> vms = new ArrayList<>();

    Deployment() throws IOException {
        directory = Files.createTempDirectory("citrontide-test");
    }

    int port(String name) {
        return ports.computeIfAbsent(name, n -> TestPorts.allocate());
    }

    String address(String name) {
        return "127.0.0.1:" + port(name);
    }

    void startFake(String kind, String name, String... options) throws IOException {
        List<String> args = new ArrayList<>(List.of("fake", kind, "--listen", address(name)));
        args.addAll(List.of(options));
        start(name, args);
        await(name, () -> status(name, "/fake/calls") > 0);
    }

    void startSidecar(String name, String service, String upstream) throws IOException {
        writeSettings(name, "service = \"" + service + "\"\nupstream_address = \"" + address(upstream) + "\"\n");
        start(name, List.of("sidecar", directory.resolve(name + ".toml").toString()));
        registerVm(name, service);
    }

    void startEntry(String name) throws IOException {
        writeSettings(name, "caller_address = \"" + address(name + "-http") + "\"\n");
        start(name, List.of("entry", directory.resolve(name + ".toml").toString()));
        registerVm(name, "");
    }

    /** Restarts a process with its existing settings file. */
    void restart(String name, String role) throws IOException {
        start(name, List.of(role, directory.resolve(name + ".toml").toString()));
    }

    private void writeSettings(String name, String roleSettings) throws IOException {
        String seeds = ports.containsKey("entry1") ? "\"" + address("entry1") + "\"" : "";
        Files.writeString(
                directory.resolve(name + ".toml"),
                "vm = \"" + name + "\"\nzone = \"" + ZONE + "\"\nlink_address = \"" + address(name)
                        + "\"\nadmin_address = \"" + address(name + "-admin") + "\"\nlink_key = \"" + KEY
                        + "\"\nstore_addresses = [\"" + address("store") + "\"]\nseed_links = [" + seeds
                        + "]\ndrain_notice_ms = 500\ndrain_limit_ms = 30000\n" + roleSettings);
    }

    private void registerVm(String name, String service) throws IOException {
        vms.add("{\"vm\":\"" + name + "\",\"zone\":\"" + ZONE + "\",\"service\":\"" + service
                + "\",\"host\":\"127.0.0.1\",\"port\":" + port(name) + ",\"leaving\":false}");
        send("PUT", "store", "/fake/vms/" + ZONE, "[" + String.join(",", vms) + "]", Map.of());
    }

    private void start(String name, List<String> args) throws IOException {
        List<String> command =
                new ArrayList<>(List.of(ROOT.resolve("bin/citrontide").toString()));
        command.addAll(args);
        ProcessBuilder b = new ProcessBuilder(command);
        b.environment().put("CITRONTIDE_TIER", "1");
        b.redirectErrorStream(true);
        b.redirectOutput(ProcessBuilder.Redirect.appendTo(
                directory.resolve(name + ".log").toFile()));
        processes.put(name, b.start());
    }

    /** Runs a command to completion and returns its exit code. */
    int runCommand(String... args) throws IOException, InterruptedException {
        List<String> command =
                new ArrayList<>(List.of(ROOT.resolve("bin/citrontide").toString()));
        command.addAll(List.of(args));
        ProcessBuilder b = new ProcessBuilder(command).redirectErrorStream(true);
        b.redirectOutput(directory.resolve("command.out").toFile());
        Process p = b.start();
        p.waitFor();
        return p.exitValue();
    }

    String commandOutput() throws IOException {
        return Files.readString(directory.resolve("command.out"));
    }

    Path prepareServiceFiles() throws IOException {
        Path files = directory.resolve("files");
        if (Files.exists(files)) {
            return files;
        }
        Files.createDirectory(files);
        for (String name : List.of("booking.toml", "roster.toml", "teams.toml")) {
            Files.copy(ROOT.resolve("examples/pelletier").resolve(name), files.resolve(name));
        }
        return files;
    }

    int publish() throws IOException, InterruptedException {
        return runCommand("publish", prepareServiceFiles().toString(), "--store", address("store"));
    }

    void awaitReady(String... names) {
        for (String name : names) {
            await(name, () -> status(name + "-admin", "/readyz") == 200);
        }
    }

    /** Waits until a condition holds; the timeout is long so that slow machines pass. */
    void await(String what, BooleanSupplier condition) {
        long end = System.nanoTime() + AWAIT_TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new IllegalStateException("timed out waiting for " + what + "\n" + readLog(what));
            }
            try {
                TimeUnit.MILLISECONDS.sleep(50);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    String readLog(String name) {
        try {
            return Files.readString(directory.resolve(name + ".log"));
        } catch (IOException e) {
            return "";
        }
    }

    int status(String name, String path) {
        try {
            return send("GET", name, path, "", Map.of()).statusCode();
        } catch (IOException e) {
            return -1;
        }
    }

    HttpResponse<String> send(String method, String name, String path, String body, Map<String, String> headers)
            throws IOException {
        HttpRequest.Builder b = HttpRequest.newBuilder(URI.create("http://" + address(name) + path))
                .timeout(Duration.ofSeconds(30))
                .method(method, HttpRequest.BodyPublishers.ofString(body));
        headers.forEach(b::header);
        try {
            return http.send(b.build(), HttpResponse.BodyHandlers.ofString());
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    HttpResponse<String> sendBooking(String entry, String key) throws IOException {
        return send(
                "POST",
                entry + "-http",
                "/services/booking/bookings",
                "{}",
                Map.of("Authorization", "Bearer " + TOKEN, "Idempotency-Key", key));
    }

    HttpResponse<String> sendTurnCheck(String entry) throws IOException {
        return send(
                "GET", entry + "-http", "/services/booking/turns/7", "", Map.of("Authorization", "Bearer " + TOKEN));
    }

    String verdictOf(HttpResponse<String> r) {
        return r.headers().firstValue("Citrontide-Verdict").orElse("none");
    }

    void setFaults(String name, String json) throws IOException {
        send("POST", name, "/fake/faults", json, Map.of());
    }

    void sendSignal(String name, String signal) throws IOException, InterruptedException {
        new ProcessBuilder(
                        "kill", "-" + signal, Long.toString(processes.get(name).pid()))
                .start()
                .waitFor();
    }

    int waitForExit(String name) throws InterruptedException {
        return processes.get(name).waitFor();
    }

    @Override
    public void close() throws IOException {
        processes.values().forEach(Process::destroyForcibly);
        try (Stream<Path> files = Files.walk(directory)) {
            files.sorted(Comparator.reverseOrder()).forEach(p -> p.toFile().delete());
        }
    }
}
