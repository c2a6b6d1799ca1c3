package org.citrontide.core.publication;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.citrontide.core.toml.Checked;

/**
 * Keeps one process on the newest configuration that it can learn of.
 *
 * <p>Watchers wait at the platform's service; all others learn versions from the digests of their peers and fetch what
 * changed from the peer that has it. A process without a fresh digest asks the platform itself, at random moments and
 * within a budget.
 *
 * <p>Invariants: the version in force never falls; only a valid configuration is put in force; at most one call to the
 * platform and one question to a peer are outstanding. Time is monotonic and passed in. Not thread-safe.
 */
public final class SpreadController {
    private static final Duration FRESH_FOR = Duration.ofSeconds(8);
    private static final Duration LEAST_STORE_GAP = Duration.ofSeconds(2);
    private static final Duration MAX_WATCHER_GAP = Duration.ofSeconds(16);
    private static final Duration MAX_OTHER_GAP = Duration.ofSeconds(128);
    private static final Duration PEER_PATIENCE = Duration.ofSeconds(2);

    private final RandomGenerator random;
    private Configuration inForce = Configuration.NONE;
    private Optional<Long> confirmedNanos = Optional.empty();
    private Optional<PeerQuestion> question = Optional.empty();
    private boolean storeCallOutstanding;
    private Optional<Long> nextStoreCallNanos = Optional.empty();
    private Duration storeGap = LEAST_STORE_GAP;
    private long alarmedInvalid;
    private long alarmedStoreVersion = -1;
    private boolean watching;

    /**
     * Makes a controller with no configuration in force.
     *
     * @param random source of jitter
     */
    public SpreadController(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Returns the configuration in force.
     *
     * @return the configuration, {@link Configuration#NONE} before the first
     */
    public Configuration inForce() {
        return inForce;
    }

    /**
     * Returns the time since the platform last confirmed the version in force to a watcher, as far as known here.
     *
     * @param nowNanos monotonic time in ns
     * @return the age, or empty if it was never confirmed
     */
    public Optional<Duration> age(long nowNanos) {
        return confirmedNanos.map(t -> Duration.ofNanos(Math.max(0, nowNanos - t)));
    }

    /**
     * Takes one event.
     *
     * @param event what happened
     * @param nowNanos monotonic time in ns
     * @return what the shell must do
     */
    public List<SpreadAction> on(SpreadEvent event, long nowNanos) {
        List<SpreadAction> out = new ArrayList<>();
        switch (event) {
            case SpreadEvent.PeerDigest d -> peerDigest(d, nowNanos, out);
            case SpreadEvent.PeerLost l -> question = question.filter(q -> q.peer() != l.peer());
            case SpreadEvent.PeerFiles f -> peerFiles(f, out);
            case SpreadEvent.StoreHead h -> storeHead(h, nowNanos, out);
            case SpreadEvent.StoreFailed f -> storeFailed(nowNanos);
            case SpreadEvent.Tick t -> tick(t, nowNanos, out);
        }
        return out;
    }

    private void peerDigest(SpreadEvent.PeerDigest d, long nowNanos, List<SpreadAction> out) {
        if (d.version() >= inForce.version()) {
            confirm(nowNanos - d.age().toNanos());
        }
        boolean waiting = question.filter(q -> nowNanos - q.askedNanos() < PEER_PATIENCE.toNanos())
                .isPresent();
        if (d.version() > inForce.version() && d.version() != alarmedInvalid && !waiting) {
            question = Optional.of(new PeerQuestion(d.peer(), nowNanos));
            out.add(new SpreadAction.AskPeer(d.peer(), inForce.version()));
        }
    }

    private void peerFiles(SpreadEvent.PeerFiles f, List<SpreadAction> out) {
        question = question.filter(q -> q.peer() != f.peer());
        if (f.version() <= inForce.version()) {
            return;
        }
        Map<String, Configuration.FileText> files = new HashMap<>();
        for (Map.Entry<String, Long> e : f.files().entrySet()) {
            Optional<String> text =
                    Optional.ofNullable(f.texts().get(e.getKey())).or(() -> textInForce(e.getKey(), e.getValue()));
            if (text.isEmpty()) {
                return;
            }
            files.put(e.getKey(), new Configuration.FileText(e.getValue(), text.get()));
        }
        install(f.version(), files, out);
    }

    private Optional<String> textInForce(String name, long version) {
        return Optional.ofNullable(inForce.files().get(name))
                .filter(t -> t.version() == version)
                .map(Configuration.FileText::text);
    }

    private void storeHead(SpreadEvent.StoreHead h, long nowNanos, List<SpreadAction> out) {
        storeCallOutstanding = false;
        storeGap = LEAST_STORE_GAP;
        scheduleStore(nowNanos, watching ? Duration.ZERO : storeGap);
        long version = h.head().version();
        if (version < inForce.version()) {
            if (alarmedStoreVersion != version) {
                alarmedStoreVersion = version;
                out.add(new SpreadAction.AlarmStoreWentBack(version, inForce.version()));
            }
            scheduleStore(nowNanos, MAX_WATCHER_GAP);
            return;
        }
        confirm(nowNanos);
        if (version == inForce.version()) {
            return;
        }
        Map<String, Configuration.FileText> files = new HashMap<>();
        for (Map.Entry<String, Head.HeadFile> e : h.head().files().entrySet()) {
            Optional<String> text = Optional.ofNullable(
                            h.texts().get(e.getValue().hash()))
                    .or(() -> textInForce(e.getKey(), e.getValue().version()));
            if (text.isEmpty()) {
                return;
            }
            files.put(e.getKey(), new Configuration.FileText(e.getValue().version(), text.get()));
        }
        install(version, files, out);
    }

    private void install(long version, Map<String, Configuration.FileText> files, List<SpreadAction> out) {
        Checked<Configuration> checked = Configuration.check(version, files);
        if (checked.value().isPresent()) {
            inForce = checked.value().get();
            out.add(new SpreadAction.Install(inForce));
        } else if (alarmedInvalid != version) {
            alarmedInvalid = version;
            out.add(new SpreadAction.AlarmInvalid(version, checked.violations()));
        }
    }

    private void storeFailed(long nowNanos) {
        storeCallOutstanding = false;
        Duration doubled = storeGap.multipliedBy(2);
        Duration most = watching ? MAX_WATCHER_GAP : MAX_OTHER_GAP;
        storeGap = doubled.compareTo(most) < 0 ? doubled : most;
        scheduleStore(nowNanos, storeGap);
    }

    private void tick(SpreadEvent.Tick t, long nowNanos, List<SpreadAction> out) {
        watching = t.watcher();
        if (storeCallOutstanding) {
            return;
        }
        boolean fresh = age(nowNanos).filter(a -> a.compareTo(FRESH_FOR) < 0).isPresent();
        if (!watching && fresh) {
            return;
        }
        if (nextStoreCallNanos.isEmpty()) {
            scheduleStore(nowNanos, watching ? Duration.ZERO : LEAST_STORE_GAP);
        }
        if (nowNanos >= nextStoreCallNanos.get()) {
            storeCallOutstanding = true;
            out.add(new SpreadAction.AskStore(watching));
        }
    }

    /** Half of the gap is fixed and half random, so that processes that lost the platform together come back apart. */
    private void scheduleStore(long nowNanos, Duration gap) {
        long half = gap.toNanos() / 2;
        nextStoreCallNanos = Optional.of(nowNanos + half + (half == 0 ? 0 : random.nextLong(half + 1)));
    }

    private void confirm(long nanos) {
        confirmedNanos = Optional.of(confirmedNanos.map(t -> Math.max(t, nanos)).orElse(nanos));
    }

    private record PeerQuestion(long peer, long askedNanos) {}
}
