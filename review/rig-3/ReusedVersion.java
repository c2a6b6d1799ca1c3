import java.nio.file.Path;
import java.util.OptionalLong;

/**
 * Case: while a change of the expert map is prepared and one worker has not answered yet, the operator publishes a
 * configuration with another usual length of answers. The gateway numbers the maps anew in the same term, so that two
 * maps have the same version.
 *
 * <p>Arguments: root of the repository, folder for settings and logs, file of the record.
 */
final class ReusedVersion {
    private static final int CALLERS = 144;
    private static final int EVENTS = 6;
    private static final int SILENT_RANK = 20;
    private static final int SILENT_MS = 1_500;
    private static final int LATE_MS = 9_000;
    private static final int NEW_TOPIC = 31;
    private static final int NEW_USUAL_ANSWER = 320;
    private static final int PLAY_MS = 25_000;
    private static final long NANOS_PER_MS = 1_000_000;

    private final Record record;
    private final boolean isTrouble = Rig.isTrouble();
    private volatile long prepareNanos;
    private volatile boolean isBroken;
    private volatile int orders;
    private volatile int unanswered;
    private volatile int changes;

    private ReusedVersion(Record record) {
        this.record = record;
    }

    public static void main(String[] args) {
        int exit = Rig.EXIT_NOT_PLAYED;
        try (Record record = new Record(Path.of(args[2]))) {
            exit = new ReusedVersion(record).play(Path.of(args[0]), Path.of(args[1]));
        } catch (Exception e) {
            e.printStackTrace();
        } finally {
            System.exit(exit);
        }
    }

    private int play(Path root, Path folder) throws Exception {
        try (Store store = new Store();
                Group group = ModelService.createGroup(this::decide, new Recorder());
                Rig.Gateway gateway = ModelService.startGateway(root, folder, store, group)) {
            Callers callers = new Callers(gateway.callerPort, "/chat/x?n=" + EVENTS, record);
            callers.setAsking(true);
            callers.start(CALLERS);
            long start = System.nanoTime();
            boolean isPublished = false;
            while (!isBroken && sinceMs(start) < PLAY_MS) {
                Rig.sleep(5);
                if (prepareNanos != 0 && !isPublished) {
                    isPublished = true;
                    group.setTopic(NEW_TOPIC);
                    int usualAnswer = isTrouble ? NEW_USUAL_ANSWER : ModelService.USUAL_ANSWER;
                    store.put("op/config", ModelService.configuration(4, usualAnswer));
                    record.line("the operator publishes version 4, usual answer " + usualAnswer);
                }
            }
            boolean isPlayed = changes > 1 || isBroken;
            record.end(
                    "orders " + orders + ", of these without an answer " + unanswered,
                    isBroken ? "BROKEN: MAP, a pass began on two maps" : isPlayed ? "held" : "not played");
            return isBroken ? Rig.EXIT_BROKEN : isPlayed ? Rig.EXIT_HELD : Rig.EXIT_NOT_PLAYED;
        }
    }

    private static long sinceMs(long nanos) {
        return (System.nanoTime() - nanos) / NANOS_PER_MS;
    }

    /** Decides which orders get no answer; called with the group locked. */
    private OptionalLong decide(int rank, String operation, long version, long step) {
        orders++;
        changes += operation.equals("go") ? 1 : 0;
        if (prepareNanos == 0 && operation.equals("prepare")) {
            prepareNanos = System.nanoTime();
        }
        boolean isSilent = prepareNanos != 0 && sinceMs(prepareNanos) < SILENT_MS;
        if (!isTrouble || !isSilent || rank != SILENT_RANK) {
            return OptionalLong.empty();
        }
        unanswered++;
        return OptionalLong.of(LATE_MS);
    }

    private final class Recorder implements Group.Listener {
        @Override
        public void orderReceived(int rank, String operation, long version, long step, int status) {
            record.line("order " + operation + " version " + version + " pass " + step + " to rank " + rank + ": "
                    + (status == 0 ? "no answer" : status));
        }

        @Override
        public void orderCarriedOutLate(int rank, String operation, long version, long step, int status) {
            record.line("late: " + operation + " version " + version + " pass " + step + " at rank " + rank + ": "
                    + status);
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
