/**
 * Case: the gateway gave up a change and released its pass; the hold and the release are carried out late. The gateway
 * finds the pass held and arms the ranks for it, and the late release lets it begin before one of them is armed.
 */
final class LateRelease {
    private LateRelease() {}

    /** Arguments: root of the repository, folder for settings and logs, file of the record. */
    public static void main(String[] args) {
        MapPlay.main(args, new MapPlay.Times(2_300, 2_100, 3_000, 3_500, 2_100));
    }
}
