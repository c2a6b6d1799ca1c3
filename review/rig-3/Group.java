import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/**
 * Stand-in for the model workers of one group: its ranks run numbered passes together and take orders as the users'
 * pages say. Each pass begins by comparing the maps of all ranks. Thread-safe.
 */
final class Group implements AutoCloseable {
    /** Decides what becomes of an order. */
    @FunctionalInterface
    interface OrderPolicy {
        /** Returns after how many ms the order is carried out without an answer, or empty if it is answered at once. */
        OptionalLong delayMs(int rank, String operation, long version, long step);
    }

    /** Receives what happens, with the group locked. */
    interface Listener {
        void orderReceived(int rank, String operation, long version, long step, int status);

        void orderCarriedOutLate(int rank, String operation, long version, long step, int status);

        void requestRun(int rank, String id);

        void passOnTwoMaps(long step, String maps);
    }

    private static final int EPOCH = 1;
    private static final int PASS_MS = 60;
    private static final long REPORT_LAG_NANOS = 200_000_000L;
    private static final int HOT_SELECTIONS = 2400;
    private static final int COLD_SELECTIONS = 60;

    /** A map of the group's experts, by set and rank. */
    private record ExpertMap(long version, List<Object> mapping) {}

    private record Snapshot(long nanos, String json) {}

    /** An order that got no answer and is carried out later. */
    private record LateOrder(Rank rank, String operation, Map<String, Object> order, long receivedNanos) {}

    /** A stream in a rank: it gets an event for each pass, until it is cancelled. */
    private static final class Stream {
        private final BlockingQueue<Boolean> events = new LinkedBlockingQueue<>();
        private int left;
        private boolean isCancelled;

        private Stream(int left) {
            this.left = left;
        }
    }

    private static final class Rank {
        private final String id;
        private final int number;
        private final ServerSocket server;
        private final long[] counts;
        private final List<Stream> streams = new ArrayList<>();
        private final Deque<Snapshot> snapshots = new ArrayDeque<>();
        private ExpertMap map;
        private ExpertMap copying;
        private long copyEndNanos;
        private ExpertMap prepared;
        private long armedStep = -1;
        private long heldStep = -1;
        private long highestVersion;
        private long sequence;

        private Rank(String id, int number, int experts) throws IOException {
            this.id = id;
            this.number = number;
            this.server = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
            this.counts = new long[experts];
        }
    }

    private final int experts;
    private final int copyMsPerExpert;
    private final List<Rank> ranks = new ArrayList<>();
    private final List<LateOrder> lateOrders = new ArrayList<>();
    private final OrderPolicy policy;
    private final Listener listener;
    private long step;
    private int topic;
    private volatile boolean isClosed;

    Group(int size, int sets, int experts, int copyMsPerExpert, OrderPolicy policy, Listener listener)
            throws IOException {
        this.experts = experts;
        this.copyMsPerExpert = copyMsPerExpert;
        this.policy = policy;
        this.listener = listener;
        List<Object> initial = new ArrayList<>();
        for (int s = 0; s < sets; s++) {
            List<Object> set = new ArrayList<>();
            for (int r = 0; r < size; r++) {
                List<Object> own = new ArrayList<>();
                for (long e = r; e < experts; e += size) {
                    own.add(e);
                }
                set.add(own);
            }
            initial.add(set);
        }
        for (int r = 0; r < size; r++) {
            Rank rank = new Rank(String.format("i-rank%02d", r), r, sets * experts);
            rank.map = new ExpertMap(0, initial);
            ranks.add(rank);
            takeSnapshot(rank);
            Thread.ofVirtual().start(() -> accept(rank));
        }
        Thread.ofPlatform().daemon().start(this::runPasses);
    }

    /** Returns the store entry of a rank. */
    String entry(int rank, String service, int sequence) {
        return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:"
                + ranks.get(rank).server.getLocalPort() + "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":8,"
                + "\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":" + sequence + "}";
    }

    String id(int rank) {
        return ranks.get(rank).id;
    }

    /** Changes which experts are in demand. */
    synchronized void setTopic(int newTopic) {
        topic = newTopic;
    }

    synchronized long step() {
        return step;
    }

    synchronized int streams() {
        return ranks.stream().mapToInt(r -> r.streams.size()).sum();
    }

    @Override
    public void close() throws IOException {
        isClosed = true;
        for (Rank r : ranks) {
            r.server.close();
        }
    }

    private void runPasses() {
        long nextNanos = System.nanoTime();
        while (!isClosed) {
            Rig.sleep(2);
            synchronized (this) {
                long now = System.nanoTime();
                endCopies(now);
                boolean isHeld = ranks.stream().anyMatch(r -> r.heldStep == step + 1);
                if (now - nextNanos >= 0 && streams() > 0 && !isHeld) {
                    startPass();
                    nextNanos = now + PASS_MS * 1_000_000L;
                }
            }
        }
    }

    private void endCopies(long now) {
        for (Rank r : ranks) {
            if (r.copying != null && now - r.copyEndNanos >= 0) {
                r.prepared = r.copying;
                r.copying = null;
                takeSnapshot(r);
            }
        }
    }

    private void startPass() {
        step++;
        for (Rank r : ranks) {
            if (r.armedStep == step) {
                r.map = r.prepared;
                r.prepared = null;
                r.armedStep = -1;
            }
            if (!r.streams.isEmpty()) {
                addSelections(r);
            }
            for (Stream s : List.copyOf(r.streams)) {
                s.left--;
                s.events.add(true);
                if (s.left == 0) {
                    r.streams.remove(s);
                }
            }
            takeSnapshot(r);
        }
        Rank first = ranks.getFirst();
        if (ranks.stream().anyMatch(r -> !r.map.equals(first.map))) {
            List<String> maps = ranks.stream()
                    .map(r -> r.number + ":" + r.map.version() + "/" + Integer.toHexString(r.map.mapping().hashCode()))
                    .toList();
            listener.passOnTwoMaps(step, String.join(" ", maps));
        }
    }

    private void addSelections(Rank r) {
        for (int i = 0; i < r.counts.length; i++) {
            int expert = i % experts;
            boolean isHot = expert % ranks.size() == topic % ranks.size();
            r.counts[i] += isHot ? HOT_SELECTIONS : COLD_SELECTIONS;
        }
    }

    private void takeSnapshot(Rank r) {
        String json = "{\"stage\":\"unified\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"busy\":false"
                + ",\"sequence\":" + r.sequence + ",\"waiting\":0,\"running\":" + r.streams.size()
                + ",\"kv_used\":0,\"kv_total\":217000,\"handles\":0,\"group\":{\"name\":\"g\",\"epoch\":" + EPOCH
                + ",\"rank\":" + r.number + ",\"state\":\"open\"},\"size\":" + ranks.size() + ",\"step\":" + step
                + ",\"mapping\":" + r.map.version() + ",\"prepared\":"
                + (r.prepared == null ? "null" : r.prepared.version()) + ",\"armed\":"
                + (r.armedStep < 0 ? "null" : r.prepared.version()) + ",\"held\":"
                + (r.heldStep < 0 ? "null" : r.heldStep) + ",\"pace\":1.0}";
        r.snapshots.addLast(new Snapshot(System.nanoTime(), json));
    }

    /** Returns the report of a rank as of some time ago. */
    private synchronized String report(Rank r) {
        long asOf = System.nanoTime() - REPORT_LAG_NANOS;
        while (r.snapshots.size() > 1) {
            Snapshot oldest = r.snapshots.removeFirst();
            if (r.snapshots.getFirst().nanos() - asOf > 0) {
                r.snapshots.addFirst(oldest);
                break;
            }
        }
        // The number of ranks is not known before the last one has started.
        return r.snapshots.getFirst().json().replaceFirst("\"size\":[0-9]+", "\"size\":" + ranks.size());
    }

    private synchronized String picked(Rank r, boolean hasLists) {
        if (!hasLists) {
            return "{\"step\":" + step + ",\"epoch\":" + EPOCH + ",\"counts\":"
                    + Arrays.toString(r.counts).replace(" ", "") + "}";
        }
        return "{\"mapping\":" + own(r, r.map) + ",\"prepared\":" + (r.prepared == null ? "null" : own(r, r.prepared))
                + "}";
    }

    private static String own(Rank r, ExpertMap map) {
        List<String> bySet = map.mapping().stream()
                .map(set -> ((List<?>) set).get(r.number).toString().replace(" ", ""))
                .toList();
        return "{\"version\":" + map.version() + ",\"experts\":[" + String.join(",", bySet) + "]}";
    }

    private void accept(Rank r) {
        while (!isClosed) {
            try {
                Socket s = r.server.accept();
                s.setTcpNoDelay(true);
                Thread.ofVirtual().start(() -> serve(r, s));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Rank r, Socket socket) {
        BlockingQueue<Http.Message> requests = new LinkedBlockingQueue<>();
        List<Stream> current = new ArrayList<>();
        Thread answering = Thread.ofVirtual().start(() -> answerAll(r, socket, requests, current));
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            for (Http.Message m = Http.read(in); m != null; m = Http.read(in)) {
                requests.add(m);
            }
        } catch (IOException e) {
            // The connection has ended.
        }
        answering.interrupt();
        synchronized (this) {
            for (Stream s : current) {
                s.isCancelled = true;
                r.streams.remove(s);
            }
        }
    }

    private void answerAll(Rank r, Socket socket, BlockingQueue<Http.Message> requests, List<Stream> current) {
        try {
            while (true) {
                answer(r, requests.take(), socket.getOutputStream(), current);
            }
        } catch (IOException | InterruptedException e) {
            // The connection has ended.
        }
    }

    private void answer(Rank r, Http.Message m, OutputStream out, List<Stream> current)
            throws IOException, InterruptedException {
        String expected = m.header("Citrontide-Expect-Instance");
        if (!expected.isEmpty() && !expected.equals(r.id)) {
            Http.reply(out, 421, "{}");
        } else if (m.target().equals("/-/report")) {
            Http.reply(out, 200, report(r));
        } else if (m.target().startsWith("/-/picked")) {
            Http.reply(out, 200, picked(r, m.target().contains("lists")));
        } else if (m.target().equals("/-/order")) {
            handleOrder(r, Json.parseObject(m.text()), out);
        } else {
            stream(r, m, out, current);
        }
    }

    private void stream(Rank r, Http.Message m, OutputStream out, List<Stream> current)
            throws IOException, InterruptedException {
        int events = Integer.parseInt(m.target().replaceAll(".*n=", ""));
        int sent = m.header("Last-Event-Id").isEmpty() ? 0 : Integer.parseInt(m.header("Last-Event-Id"));
        Stream s = new Stream(Math.max(1, events - sent));
        synchronized (this) {
            current.clear();
            current.add(s);
            r.streams.add(s);
            listener.requestRun(r.number, m.header("Citrontide-Attempt-Id"));
        }
        Http.write(
                out,
                "HTTP/1.1 200 OK\r\nCitrontide-Attempt-Id: " + m.header("Citrontide-Attempt-Id")
                        + "\r\nCitrontide-Response-Stamp: s." + r.id
                        + "\r\nContent-Type: text/event-stream\r\nKeep-Alive: timeout=5\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\n");
        while (sent < events && !s.isCancelled) {
            s.events.take();
            sent++;
            String event = "id: " + sent + "\ndata: " + "t".repeat(40) + "\n\n";
            Http.write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
        }
        Http.write(out, "0\r\n\r\n");
    }

    private void handleOrder(Rank r, Map<String, Object> order, OutputStream out) throws IOException {
        String operation = (String) order.get("operation");
        long version = Json.number(order, "version", 0);
        long orderStep = Json.number(order, "step", 0);
        int status;
        synchronized (this) {
            OptionalLong delay = policy.delayMs(r.number, operation, version, orderStep);
            if (delay.isPresent()) {
                listener.orderReceived(r.number, operation, version, orderStep, 0);
                LateOrder late = new LateOrder(r, operation, order, System.nanoTime());
                lateOrders.add(late);
                Thread.ofVirtual().start(() -> {
                    Rig.sleep(delay.getAsLong());
                    carryOutLate(late);
                });
                return;
            }
            status = carryOut(r, operation, order);
            listener.orderReceived(r.number, operation, version, orderStep, status);
        }
        Http.reply(out, status, "{}");
    }

    /** Carries out an unanswered order now, if that is not too early; returns whether there was one. */
    synchronized boolean carryOutNow(String operation, long minAgeMs) {
        long latestNanos = System.nanoTime() - minAgeMs * 1_000_000L;
        for (LateOrder late : List.copyOf(lateOrders)) {
            if (late.operation().equals(operation) && late.receivedNanos() - latestNanos <= 0) {
                carryOutLate(late);
                return true;
            }
        }
        return false;
    }

    private synchronized void carryOutLate(LateOrder late) {
        if (!lateOrders.remove(late)) {
            return;
        }
        Map<String, Object> order = late.order();
        int status = carryOut(late.rank(), late.operation(), order);
        listener.orderCarriedOutLate(
                late.rank().number,
                late.operation(),
                Json.number(order, "version", 0),
                Json.number(order, "step", 0),
                status);
    }

    private int carryOut(Rank r, String operation, Map<String, Object> order) {
        if (Json.number(order, "epoch", EPOCH) != EPOCH) {
            return 409;
        }
        long orderStep = Json.number(order, "step", 0);
        int status = switch (operation) {
            case "prepare" -> prepare(r, Json.number(order, "version", 0), Json.list(order, "mapping"));
            case "arm" -> arm(r, Json.number(order, "version", 0), orderStep);
            case "hold" -> hold(r, orderStep);
            case "go" -> go(r, orderStep);
            default -> 400;
        };
        r.sequence += status == 202 ? 1 : 0;
        takeSnapshot(r);
        return status;
    }

    private int prepare(Rank r, long version, List<Object> mapping) {
        if (version <= r.highestVersion || r.armedStep >= 0) {
            return 409;
        }
        r.highestVersion = version;
        r.prepared = null;
        r.copying = new ExpertMap(version, mapping);
        r.copyEndNanos = System.nanoTime() + newExperts(r, mapping) * copyMsPerExpert * 1_000_000L;
        return 202;
    }

    private static long newExperts(Rank r, List<Object> mapping) {
        long count = 0;
        for (int s = 0; s < mapping.size(); s++) {
            List<?> held = (List<?>) ((List<?>) r.map.mapping().get(s)).get(r.number);
            List<?> wanted = (List<?>) ((List<?>) mapping.get(s)).get(r.number);
            count += wanted.stream().filter(e -> !held.contains(e)).count();
        }
        return count;
    }

    private int arm(Rank r, long version, long armStep) {
        if (r.prepared == null || r.prepared.version() != version || armStep <= step) {
            return 409;
        }
        if (r.armedStep == armStep) {
            return 200;
        }
        r.armedStep = armStep;
        return 202;
    }

    private int hold(Rank r, long holdStep) {
        if (holdStep <= step || r.heldStep > step && r.heldStep != holdStep) {
            return 409;
        }
        if (r.heldStep == holdStep) {
            return 200;
        }
        r.heldStep = holdStep;
        return 202;
    }

    private int go(Rank r, long goStep) {
        if (r.heldStep == goStep) {
            r.heldStep = -1;
            return 202;
        }
        return 200;
    }
}
