import java.nio.file.Path;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Plays a gateway that changes the expert map of a group while one worker leaves orders unanswered and carries them out
 * late. After some normal changes, callers pause while a change is prepared, so that the group has no work, and the
 * rank that is to hold a pass answers no order for a while. Later the callers ask again, and when the gateway arms the
 * ranks for the held pass, another rank leaves its order unanswered.
 *
 * <p>The rule is broken if a pass begins while two ranks have different maps.
 */
final class MapPlay {
    /**
     * The times of a play, all in ms.
     *
     * @param silentMs for how long the holder answers no order
     * @param lateHoldMs after how long it carries an unanswered hold out
     * @param quietMs time from the first hold until the callers ask again
     * @param unarmedMs for how long the other rank answers no order to arm
     * @param lateGoMs after how long the holder carries an unanswered release out
     */
    record Times(int silentMs, int lateHoldMs, int quietMs, int unarmedMs, int lateGoMs) {}

    // The sizes of the model service of ditchline-grown, with fewer sets and slower copies.
    private static final int RANKS = 72;
    private static final int SETS = 2;
    private static final int EXPERTS = 144;
    private static final int EXPERT_MB = 3500;
    private static final int LINK_MBPS = 100_000;
    private static final int COPY_MS_PER_EXPERT = EXPERT_MB * 8 * 1000 / LINK_MBPS;
    private static final int CALLERS = 144;
    private static final int EVENTS = 4;
    private static final int NORMAL_CHANGES = 2;
    private static final int TOPIC_MS = 4_000;
    private static final int EXPERTS_PER_TOPIC = 5;
    private static final int LATE_ARM_MS = 3_000;
    private static final int HEARTBEAT_MS = 1_200;
    private static final int PLAY_MS = 60_000;
    // The play ends this long after the group was armed for the held pass.
    private static final int AFTER_ARMING_MS = 8_000;
    private static final long NANOS_PER_MS = 1_000_000;

    private enum Phase {
        NORMAL,
        PREPARING,
        HOLDING,
        ASKING_AGAIN,
        ARMING
    }

    private final Times times;
    private final Record record;
    private final boolean isTrouble = Rig.isTrouble();
    private final AtomicInteger orders = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private Callers callers;
    private Group group;
    private volatile Phase phase = Phase.NORMAL;
    private volatile boolean isBroken;
    private volatile boolean isChangeDue;
    private volatile int changes;
    private volatile int holder = -1;
    private volatile long heldStep;
    private volatile long holdNanos;
    private volatile long armNanos;

    private MapPlay(Times times, Record record) {
        this.times = times;
        this.record = record;
    }

    /** Plays a case and ends the process; see Rig for the exit codes. */
    static void main(String[] args, Times times) {
        int exit = Rig.EXIT_NOT_PLAYED;
        try (Record record = new Record(Path.of(args[2]))) {
            exit = new MapPlay(times, record).play(Path.of(args[0]), Path.of(args[1]));
        } catch (Exception e) {
            e.printStackTrace();
        } finally {
            System.exit(exit);
        }
    }

    private int play(Path root, Path folder) throws Exception {
        try (Store store = new Store();
                Group ranks = new Group(RANKS, SETS, EXPERTS, COPY_MS_PER_EXPERT, this::decide, new Recorder());
                Rig.Gateway gateway = new Rig.Gateway(root, folder, "front-1", store.port())) {
            group = ranks;
            store.put("op/config", configuration());
            writeEntries(store, 1);
            callers = new Callers(gateway.callerPort, "/chat/x?n=" + EVENTS, record);
            gateway.awaitReady();
            Thread.ofVirtual().start(() -> sendHeartbeats(store));
            callers.setAsking(true);
            callers.start(CALLERS);
            boolean isPlayed = playPhases() || isBroken;
            record.line("orders " + orders + ", of these without an answer " + unanswered);
            record.line(isBroken ? "BROKEN: MAP, a pass began on two maps" : isPlayed ? "held" : "not played");
            return isBroken ? Rig.EXIT_BROKEN : isPlayed ? Rig.EXIT_HELD : Rig.EXIT_NOT_PLAYED;
        }
    }

    private void sendHeartbeats(Store store) {
        for (int beat = 2; true; beat++) {
            Rig.sleep(HEARTBEAT_MS);
            writeEntries(store, beat);
        }
    }

    private void writeEntries(Store store, int beat) {
        for (int r = 0; r < RANKS; r++) {
            store.put("servers/" + group.id(r), group.entry(r, "svc", beat));
        }
    }

    /** Returns whether the phases were reached that the case is about. */
    private boolean playPhases() {
        long start = System.nanoTime();
        long topicNanos = start;
        int topic = 0;
        while (!isBroken && sinceMs(start) < PLAY_MS) {
            Rig.sleep(10);
            if (phase == Phase.NORMAL && sinceMs(topicNanos) > TOPIC_MS) {
                topicNanos = System.nanoTime();
                topic += EXPERTS_PER_TOPIC;
                group.setTopic(topic);
                isChangeDue = changes >= NORMAL_CHANGES;
            }
            if (phase == Phase.HOLDING && sinceMs(holdNanos) > times.quietMs()) {
                phase = Phase.ASKING_AGAIN;
                record.line("callers ask again");
                callers.setAsking(true);
            }
            if (phase == Phase.ARMING && sinceMs(armNanos) > AFTER_ARMING_MS
                    || !isTrouble && phase == Phase.ASKING_AGAIN && sinceMs(holdNanos) > 2 * AFTER_ARMING_MS) {
                return true;
            }
        }
        return false;
    }

    private static long sinceMs(long nanos) {
        return (System.nanoTime() - nanos) / NANOS_PER_MS;
    }

    /** Decides which orders get no answer; called with the group locked. */
    private OptionalLong decide(int rank, String operation, long version, long step) {
        orders.incrementAndGet();
        followPhases(rank, operation, step);
        OptionalLong delay = isTrouble ? delayMs(rank, operation, step) : OptionalLong.empty();
        delay.ifPresent(ms -> unanswered.incrementAndGet());
        return delay;
    }

    private OptionalLong delayMs(int rank, String operation, long step) {
        boolean isSilent = holder >= 0 && sinceMs(holdNanos) < times.silentMs();
        if (isSilent && rank == holder && step == heldStep) {
            return OptionalLong.of(operation.equals("hold") ? times.lateHoldMs() : times.lateGoMs());
        }
        boolean isUnarmed = armNanos != 0 && sinceMs(armNanos) < times.unarmedMs();
        if (isUnarmed && rank == (holder + RANKS / 2) % RANKS && operation.equals("arm")) {
            return OptionalLong.of(LATE_ARM_MS);
        }
        return OptionalLong.empty();
    }

    private void followPhases(int rank, String operation, long step) {
        if (phase == Phase.NORMAL && operation.equals("go")) {
            changes++;
        } else if (phase == Phase.NORMAL && operation.equals("prepare") && isChangeDue) {
            phase = Phase.PREPARING;
            record.line("callers pause");
            callers.setAsking(false);
        } else if (phase == Phase.PREPARING && operation.equals("hold")) {
            phase = Phase.HOLDING;
            holder = rank;
            heldStep = step;
            holdNanos = System.nanoTime();
        } else if (isTrouble && armNanos == 0 && holder >= 0 && operation.equals("arm") && step == heldStep) {
            armNanos = System.nanoTime();
            record.line("the gateway arms the ranks for the held pass");
        }
        if (armNanos != 0 && phase == Phase.ASKING_AGAIN) {
            phase = Phase.ARMING;
        }
    }

    private static String configuration() {
        return """
                {"version":7,"routes":[{"name":"r1","hostname":"h.example","prefix":"/chat/","kind":"streaming",\
                "timeout_ms":8000,"target_latency_ms":403,"priority":0,"service":"svc","max_attempts":2,"public":true,\
                "sticky":true,"can_resume":true,"target_gap_ms":120}],"services":[{"name":"svc",\
                "health_check_path":"/health","max_connections":540,"protocol":"h1","tls":false,"engine":{"slots":8,\
                "kv_capacity_tokens":217000,"kv_token_bytes":144384,"link_mbps":%d,"stride":6,"models":[{"name":"m"}],\
                "step_ms":5.85,"per_seq_ms":0.5,"context_per_k":0.05,"read_per_s":61200.0,"pairs_per_m":0.325,\
                "chunk":512,"report_lag_ms":200.0,"usual":{"prompt":835,"answer":139},"sets":%d,"experts":%d,\
                "placements":3,"spare":2,"expert_mb":%d,"expert_share":0.85,"form_ms":600.0}}],\
                "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,\
                "idle_timeout_ms":15000}}"""
                .formatted(LINK_MBPS, SETS, EXPERTS, EXPERT_MB);
    }

    private final class Recorder implements Group.Listener {
        @Override
        public void orderReceived(int rank, String operation, long version, long step, int status) {
            record.line("order " + operation + " version " + version + " pass " + step + " to rank " + rank + ": "
                    + (status == 0 ? "no answer" : status) + ", last pass " + group.step());
        }

        @Override
        public void orderCarriedOutLate(int rank, String operation, long version, long step, int status) {
            record.line("late: " + operation + " version " + version + " pass " + step + " at rank " + rank + ": "
                    + status + ", last pass " + group.step());
        }

        @Override
        public void requestRun(int rank, String id) {
            record.line("request " + id + " runs at rank " + rank);
        }

        @Override
        public void passOnTwoMaps(long step, String maps) {
            if (!isBroken) {
                record.line("pass " + step + " begins on two maps, by rank:version/content: " + maps);
            }
            isBroken = true;
        }
    }
}
