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

    private static final int CALLERS = 144;
    private static final int EVENTS = 4;
    private static final int NORMAL_CHANGES = 2;
    private static final int TOPIC_MS = 4_000;
    private static final int EXPERTS_PER_TOPIC = 5;
    private static final int LATE_ARM_MS = 3_000;
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
                Group ranks = ModelService.createGroup(this::decide, new Recorder())) {
            group = ranks;
            try (Rig.Gateway gateway = ModelService.startGateway(root, folder, store, ranks)) {
                callers = new Callers(gateway.callerPort, "/chat/x?n=" + EVENTS, record);
                callers.setAsking(true);
                callers.start(CALLERS);
                boolean isPlayed = playPhases() || isBroken;
                record.end(
                        "orders " + orders + ", of these without an answer " + unanswered,
                        isBroken ? "BROKEN: MAP, a pass began on two maps" : isPlayed ? "held" : "not played");
                return isBroken ? Rig.EXIT_BROKEN : isPlayed ? Rig.EXIT_HELD : Rig.EXIT_NOT_PLAYED;
            }
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
        if (isUnarmed && rank == (holder + ModelService.RANKS / 2) % ModelService.RANKS && operation.equals("arm")) {
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
