/**
 * Case: an order to hold a pass is carried out after a later change has armed all ranks for a later pass. The gateway
 * arms them anew for the held pass; one rank leaves that unanswered, and its report still names the version.
 */
final class StaleArm {
    private StaleArm() {}

    /** Arguments: root of the repository, folder for settings and logs, file of the record. */
    public static void main(String[] args) {
        MapPlay.main(args, new MapPlay.Times(2_300, 3_600, 4_000, 1_500, 11_900));
    }
}
