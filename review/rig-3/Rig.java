import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** A gateway process with the command of the deploy file, and helpers. */
final class Rig {
    /** The rule was broken. */
    static final int EXIT_BROKEN = 1;

    /** The rule held. */
    static final int EXIT_HELD = 0;

    /** The case could not be played. */
    static final int EXIT_NOT_PLAYED = 2;

    private static final long START_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(20);
    private static final int MAX_STARTS = 2;
    private static final int MIN_PORT = 20_000;
    private static final int MAX_PORT = 32_000;

    private Rig() {}

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static boolean isTrouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    /** Returns free ports below those that the system gives to outgoing connections. */
    static List<Integer> freePorts(int count) {
        List<Integer> ports = new ArrayList<>();
        while (ports.size() < count) {
            int port = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT);
            try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                if (!ports.contains(s.getLocalPort())) {
                    ports.add(port);
                }
            } catch (IOException e) {
                // The port is taken.
            }
        }
        return ports;
    }

    /** Starts a gateway and waits until it is ready; tries again if it ends, because a port was taken meanwhile. */
    static Gateway startGateway(Path root, Path folder, String vm, int storePort) throws IOException {
        for (int attempt = 1; true; attempt++) {
            Gateway gateway = new Gateway(root, folder, vm, storePort);
            if (gateway.awaitReady()) {
                return gateway;
            }
            gateway.close();
            Files.readAllLines(folder.resolve(vm + ".log")).forEach(System.err::println);
            if (attempt == MAX_STARTS) {
                throw new IllegalStateException("the gateway is not ready");
            }
        }
    }

    /** A gateway process. */
    static final class Gateway implements AutoCloseable {
        final int callerPort;
        private final int adminPort;
        private final Process process;

        /** Starts a gateway; its settings and its log are in the given folder. */
        private Gateway(Path root, Path folder, String vm, int storePort) throws IOException {
            List<Integer> ports = freePorts(3);
            this.callerPort = ports.get(0);
            this.adminPort = ports.get(1);
            Path settings = folder.resolve(vm + ".toml");
            Files.writeString(
                    settings,
                    """
                    vm = "%s"
                    zone = "z1"
                    caller_address = "127.0.0.1:%d"
                    admin_address = "127.0.0.1:%d"
                    store_address = "127.0.0.1:%d"
                    peer_address = "127.0.0.1:%d"
                    peers = []
                    link_mbps = 1000.0
                    kill_after_s = 8
                    change_limit_ms = 2000
                    repeat_ratio = 0.2
                    repeat_window_ms = 10000
                    repeat_slack = 92
                    """
                            .formatted(vm, callerPort, adminPort, storePort, ports.get(2)));
            String run = Files.readAllLines(root.resolve("deploy/system.toml")).stream()
                    .filter(l -> l.startsWith("run = "))
                    .findFirst()
                    .orElseThrow();
            List<String> command =
                    new ArrayList<>(List.of(run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" ")));
            command.set(command.size() - 1, settings.toString());
            process = new ProcessBuilder(command)
                    .directory(root.toFile())
                    .redirectErrorStream(true)
                    .redirectOutput(folder.resolve(vm + ".log").toFile())
                    .start();
            Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        }

        /** Returns whether the gateway became ready. */
        private boolean awaitReady() {
            long endNanos = System.nanoTime() + START_TIMEOUT_NANOS;
            while (!isReady()) {
                if (!process.isAlive() || System.nanoTime() - endNanos > 0) {
                    return false;
                }
                sleep(50);
            }
            return true;
        }

        private boolean isReady() {
            try (Socket s = new Socket(InetAddress.getLoopbackAddress(), adminPort)) {
                s.setSoTimeout(1000);
                Http.write(s.getOutputStream(), "GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
                Http.Message m = Http.read(s.getInputStream());
                return m != null && m.status() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        @Override
        public void close() {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
