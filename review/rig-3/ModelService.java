import java.io.IOException;
import java.nio.file.Path;

/** The model service that the cases about expert maps play with: one group with a worker for each rank. */
final class ModelService {
    // The sizes of the model service of ditchline-grown, with fewer sets and slower copies.
    static final int RANKS = 72;
    static final int USUAL_ANSWER = 139;

    private static final int SETS = 2;
    private static final int EXPERTS = 144;
    private static final int EXPERT_MB = 3500;
    private static final int LINK_MBPS = 100_000;
    private static final int COPY_MS_PER_EXPERT = EXPERT_MB * 8 * 1000 / LINK_MBPS;
    private static final int HEARTBEAT_MS = 1_200;
    private static final String SERVICE = "svc";

    private ModelService() {}

    static Group createGroup(Group.OrderPolicy policy, Group.Listener listener) throws IOException {
        return new Group(RANKS, SETS, EXPERTS, COPY_MS_PER_EXPERT, policy, listener);
    }

    /** Starts a gateway before a store with the configuration and the entries of the workers. */
    static Rig.Gateway startGateway(Path root, Path folder, Store store, Group group) throws IOException {
        store.put("op/config", configuration(1, USUAL_ANSWER));
        register(group, store);
        return Rig.startGateway(root, folder, "front-1", store.port());
    }

    /** Writes the entries of the workers, and again with each heartbeat. */
    private static void register(Group group, Store store) {
        writeEntries(group, store, 1);
        Thread.ofVirtual().start(() -> {
            for (int beat = 2; true; beat++) {
                Rig.sleep(HEARTBEAT_MS);
                writeEntries(group, store, beat);
            }
        });
    }

    private static void writeEntries(Group group, Store store, int beat) {
        for (int r = 0; r < RANKS; r++) {
            store.put("servers/" + group.id(r), group.entry(r, SERVICE, beat));
        }
    }

    /** Returns the operator's configuration with the usual length of an answer in tokens. */
    static String configuration(int version, int usualAnswer) {
        return """
                {"version":%d,"routes":[{"name":"r1","hostname":"h.example","prefix":"/chat/","kind":"streaming",\
                "timeout_ms":8000,"target_latency_ms":403,"priority":0,"service":"%s","max_attempts":2,"public":true,\
                "sticky":true,"can_resume":true,"target_gap_ms":120}],"services":[{"name":"%s",\
                "health_check_path":"/health","max_connections":540,"protocol":"h1","tls":false,"engine":{"slots":8,\
                "kv_capacity_tokens":217000,"kv_token_bytes":144384,"link_mbps":%d,"stride":6,"models":[{"name":"m"}],\
                "step_ms":5.85,"per_seq_ms":0.5,"context_per_k":0.05,"read_per_s":61200.0,"pairs_per_m":0.325,\
                "chunk":512,"report_lag_ms":200.0,"usual":{"prompt":835,"answer":%d},"sets":%d,"experts":%d,\
                "placements":3,"spare":2,"expert_mb":%d,"expert_share":0.85,"form_ms":600.0}}],\
                "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,\
                "idle_timeout_ms":15000}}"""
                .formatted(version, SERVICE, SERVICE, LINK_MBPS, usualAnswer, SETS, EXPERTS, EXPERT_MB);
    }
}
