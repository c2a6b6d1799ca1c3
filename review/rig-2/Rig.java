package review2;

import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.regex.*;
import org.citrontide.fakes.platform.FakeHttpUpstream;
import org.citrontide.fakes.platform.FakePlatformStore;

/** Starts gateways with the run line of deploy/system.toml, and writes the record of a case. */
final class Rig implements AutoCloseable {
    final Path top;
    final Path dir;
    final PrintWriter record;
    final boolean trouble;
    final long startNanos = System.nanoTime();
    /** Limit on the descriptors of a gateway, 0 for that of this process. */
    int maxFds;

    private final List<Process> processes = new CopyOnWriteArrayList<>();
    private final List<AutoCloseable> closeables = new ArrayList<>();

    /** A case: returns the violations that were seen. */
    @FunctionalInterface
    interface Case {
        List<String> play(Rig rig) throws Exception;
    }

    /** Plays a case and ends the process: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
    static void main(String[] args, Case c) {
        java.util.logging.Logger.getLogger("").setLevel(java.util.logging.Level.OFF);
        Thread.ofPlatform().daemon().start(() -> {
            try {
                Thread.sleep(MAX_RUN_MS);
            } catch (InterruptedException e) {
                return;
            }
            System.exit(2);
        });
        int status = 2;
        try (Rig rig = new Rig(args)) {
            try {
                List<String> broken = c.play(rig);
                broken.forEach(b -> rig.log("BROKEN " + b));
                status = broken.isEmpty() ? 0 : 1;
                rig.log(broken.isEmpty() ? "the rule held" : "the rule was broken");
            } catch (Exception e) {
                rig.log("the case couldn't run: " + e);
                status = 2;
            }
        } catch (Exception e) {
            System.err.println(e);
            status = 2;
        }
        System.exit(status);
    }

    private static final long MAX_RUN_MS = 115_000;

    Rig(String[] args) throws IOException {
        top = Path.of(args[0]).toAbsolutePath();
        Path caseDir = Path.of(args[1]).toAbsolutePath();
        trouble = !"0".equals(System.getenv("TROUBLE"));
        dir = Files.createTempDirectory("citrontide-review");
        record = new PrintWriter(Files.newBufferedWriter(caseDir.resolve("record.txt")), true);
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
        log("trouble=" + trouble);
    }

    synchronized void log(String line) {
        record.printf("%8.3f %s%n", (System.nanoTime() - startNanos) / 1e9, line);
    }

    static int freePort() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return s.getLocalPort();
        }
    }

    /** A gateway process. */
    final class Gateway {
        final String vm;
        final int callerPort = freePort();
        final int adminPort = freePort();
        final int peerPort = freePort();
        Process process;

        Gateway(String vm) throws IOException {
            this.vm = vm;
        }

        void start(int storePort, List<Integer> peerPorts, String more) throws IOException {
            StringBuilder peers = new StringBuilder();
            for (int p : peerPorts) {
                peers.append(peers.length() == 0 ? "" : ",").append("\"127.0.0.1:" + p + "\"");
            }
            Path settings = dir.resolve(vm + ".toml");
            Files.writeString(settings, "vm = \"" + vm + "\"\nzone = \"z1\"\ncaller_address = \"127.0.0.1:" + callerPort
                    + "\"\nadmin_address = \"127.0.0.1:" + adminPort + "\"\nstore_address = \"127.0.0.1:" + storePort
                    + "\"\npeer_address = \"127.0.0.1:" + peerPort + "\"\npeers = [" + peers
                    + "]\nlink_mbps = 1000\nkill_after_s = 8\nchange_limit_ms = 2000\nrepeat_ratio = 0.2\n"
                    + "repeat_window_ms = 10000\nrepeat_slack = 92\n" + more);
            Matcher run = Pattern.compile("(?m)^run = \"([^\"]*)\"").matcher(
                    Files.readString(top.resolve("deploy/system.toml")));
            run.find();
            List<String> command = new ArrayList<>(Arrays.asList(run.group(1).split(" ")));
            command.set(0, top.resolve(command.get(0)).toString());
            command.set(command.size() - 1, settings.toString());
            if (maxFds > 0) {
                command.addAll(0, List.of("/bin/sh", "-c", "ulimit -n " + maxFds + "; exec \"$@\"", "sh"));
            }
            ProcessBuilder b = new ProcessBuilder(command).directory(top.toFile());
            b.environment().keySet().retainAll(Set.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            b.redirectErrorStream(true).redirectOutput(dir.resolve(vm + ".log").toFile());
            process = b.start();
            processes.add(process);
            log("gateway " + vm + " started, pid " + process.pid());
        }

        int readiness() {
            try (Client c = new Client(adminPort)) {
                c.write("GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
                return c.readResponse().status;
            } catch (IOException e) {
                return -1;
            }
        }

        void awaitReady() throws Exception {
            awaitReady(30);
        }

        void awaitReady(int seconds) throws Exception {
            long end = System.nanoTime() + seconds * 1_000_000_000L;
            while (readiness() != 200) {
                if (System.nanoTime() > end || !process.isAlive()) {
                    throw new IllegalStateException(vm + " does not become ready");
                }
                Thread.sleep(50);
            }
        }

        String logText() throws IOException {
            return Files.readString(dir.resolve(vm + ".log"));
        }
    }

    void own(AutoCloseable c) {
        closeables.add(c);
    }

    FakeHttpUpstream worker(String id, FakeHttpUpstream.Script script) throws IOException {
        FakeHttpUpstream u = new FakeHttpUpstream(id, script);
        own(u);
        return u;
    }

    FakePlatformStore store() throws IOException {
        FakePlatformStore s = new FakePlatformStore();
        own(s);
        return s;
    }

    static String route(String name, String kind, String service, int timeoutMs, String extra) {
        return "{\"name\":\"" + name + "\",\"hostname\":\"h.example\",\"prefix\":\"/" + name + "/\",\"kind\":\"" + kind
                + "\",\"timeout_ms\":" + timeoutMs + ",\"target_latency_ms\":400,\"priority\":1,\"service\":\"" + service
                + "\",\"max_attempts\":2,\"public\":false" + extra + "}";
    }

    static String config(int version, String routes, String services, int idleMs) {
        return "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[" + services
                + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":" + idleMs + "},\"tenants\":[{\"name\":\"rangers\",\"api_keys\":[\"key-1\"]}]}";
    }

    static String service(String name) {
        return service(name, 100);
    }

    static String service(String name, int connections) {
        return "{\"name\":\"" + name + "\",\"health_check_path\":\"/health\",\"max_connections\":" + connections + ",\"protocol\":\"h1\",\"tls\":false}";
    }

    void signal(Process p, String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, Long.toString(p.pid())).start().waitFor();
    }

    private void killAll() {
        for (Process p : processes) {
            p.destroyForcibly();
        }
    }

    @Override
    public void close() throws Exception {
        killAll();
        for (Process p : processes) {
            p.waitFor(5, TimeUnit.SECONDS);
        }
        for (AutoCloseable c : closeables) {
            try {
                c.close();
            } catch (Exception e) {
                // Ends anyway.
            }
        }
        if (System.getenv("KEEP") == null) {
            try (var files = Files.walk(dir)) {
                files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
            }
        }
    }

    /** A client's connection. */
    static final class Client implements AutoCloseable {
        final Socket socket;
        final InputStream in;

        static final class Response {
            int status;
            String head = "";
            byte[] body = new byte[0];
            boolean complete;

            String header(String name) {
                for (String line : head.split("\r\n")) {
                    if (line.toLowerCase(Locale.ROOT).startsWith(name.toLowerCase(Locale.ROOT) + ":")) {
                        return line.substring(name.length() + 1).trim();
                    }
                }
                return "";
            }
        }

        Client(int port) throws IOException {
            this(port, 0);
        }

        Client(int port, int receiveBuffer) throws IOException {
            socket = new Socket();
            if (receiveBuffer > 0) {
                socket.setReceiveBufferSize(receiveBuffer);
            }
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
            socket.setSoTimeout(60_000);
            in = new BufferedInputStream(socket.getInputStream(), 8192);
        }

        void write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
        }

        void request(String method, String path, String id, int deadlineMs, String body) throws IOException {
            request(method, path, id, deadlineMs, body, "key-1");
        }

        void request(String method, String path, String id, int deadlineMs, String body, String key) throws IOException {
            write(method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nCitrontide-Attempt-Id: " + id
                    + "\r\nCitrontide-Deadline-Ms: " + deadlineMs + "\r\nAuthorization: Bearer " + key + "\r\n"
                    + (method.equals("GET") ? "" : "Content-Length: " + body.length() + "\r\n") + "\r\n" + body);
        }

        String line() throws IOException {
            ByteArrayOutputStream b = new ByteArrayOutputStream();
            int c = in.read();
            for (; c >= 0 && c != '\n'; c = in.read()) {
                if (c != '\r') {
                    b.write(c);
                }
            }
            if (c < 0 && b.size() == 0) {
                throw new EOFException("closed");
            }
            return b.toString(StandardCharsets.ISO_8859_1);
        }

        Response readHead() throws IOException {
            Response r = new Response();
            StringBuilder head = new StringBuilder();
            for (String l = line(); !l.isEmpty(); l = line()) {
                head.append(l).append("\r\n");
            }
            r.head = head.toString();
            r.status = Integer.parseInt(r.head.split(" ", 3)[1]);
            return r;
        }

        Response readResponse() throws IOException {
            Response r = readHead();
            int length = Integer.parseInt(r.header("Content-Length").isEmpty() ? "0" : r.header("Content-Length"));
            r.body = in.readNBytes(length);
            r.complete = r.body.length == length;
            return r;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
