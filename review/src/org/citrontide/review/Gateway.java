package org.citrontide.review;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** One gateway as a process of its own, started with the command of deploy/system.toml. */
final class Gateway implements AutoCloseable {
    final int callerPort = freePort();
    final int adminPort = freePort();
    final int peerPort = freePort();
    private final String vm;
    private final Path folder;
    private final Path log;
    private Process process;

    Gateway(String vm, Path folder) throws IOException {
        this.vm = vm;
        this.folder = folder;
        this.log = folder.resolve(vm + ".log");
    }

    private static int freePort() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return s.getLocalPort();
        }
    }

    void start(int storePort, List<Gateway> peers) throws IOException {
        List<String> peerAddresses =
                peers.stream().map(p -> "\"127.0.0.1:" + p.peerPort + "\"").toList();
        Path settings = folder.resolve(vm + ".toml");
        Files.writeString(settings, """
                vm = "%s"
                zone = "z1"
                caller_address = "127.0.0.1:%d"
                admin_address = "127.0.0.1:%d"
                store_address = "127.0.0.1:%d"
                peer_address = "127.0.0.1:%d"
                peers = [%s]
                link_mbps = 1000
                stop_limit_ms = 7500
                change_limit_ms = 2000
                repeat_ratio = 0.2
                repeat_window_ms = 10000
                repeat_slack = 92
                """.formatted(vm, callerPort, adminPort, storePort, peerPort, String.join(", ", peerAddresses)));
        List<String> command = new ArrayList<>(command());
        command.set(command.size() - 1, settings.toString());
        ProcessBuilder builder = new ProcessBuilder(command)
                .directory(World.REPOSITORY.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        process = builder.start();
    }

    /** Returns the run command of the deploy file, split at spaces. */
    private static List<String> command() throws IOException {
        String line = Files.readAllLines(World.REPOSITORY.resolve("deploy/system.toml")).stream()
                .filter(l -> l.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
    }

    boolean isReady() {
        try {
            HttpURLConnection c = (HttpURLConnection)
                    URI.create("http://127.0.0.1:" + adminPort + "/-/readiness").toURL().openConnection();
            c.setConnectTimeout(500);
            c.setReadTimeout(500);
            return c.getResponseCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    boolean awaitReady(long ms) {
        long end = System.nanoTime() + ms * 1_000_000;
        while (System.nanoTime() < end) {
            if (isReady()) {
                return true;
            }
            World.sleep(50);
        }
        return false;
    }

    boolean isAlive() {
        return process.isAlive();
    }

    long pid() {
        return process.pid();
    }

    /** Sends SIGTERM. */
    void terminate() {
        process.destroy();
    }

    boolean awaitEnd(long ms) {
        try {
            return process.waitFor(ms, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            return false;
        }
    }

    int exitCode() {
        return process.exitValue();
    }

    void kill() {
        process.destroyForcibly();
        awaitEnd(5000);
    }

    String logText() throws IOException {
        return Files.exists(log) ? Files.readString(log) : "";
    }

    Map<String, Integer> ports() {
        return Map.of("caller", callerPort, "admin", adminPort, "peer", peerPort);
    }

    @Override
    public void close() {
        if (process != null && process.isAlive()) {
            kill();
        }
    }
}
