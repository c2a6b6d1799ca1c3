package org.citrontide.core.outage;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Decides whether the store was away for so long that entries of live upstreams may have expired.
 *
 * <p>Handles a gateway that the store has not served for seconds. It can't tell by itself whether the store was away,
 * or whether only its own connections were silent or it alone was turned away. The heartbeats that the store took in
 * the meantime tell: while it is away, no upstream can write. Only if too few heartbeats are expected, the gateway's
 * own calls decide: one that got no answer says nothing but of its connection, while a refusal, or a failure to
 * connect, is taken as an outage.
 *
 * <p>Invariants: no outage without a call that got no answer or failed; none shorter than two heartbeats; proof of an
 * earlier service than a known one changes nothing, and proof of one before a call that failed doesn't explain that
 * call. Not thread-safe; times are passed in.
 */
public final class StoreOutageDetector {
    // Entries outlast an interruption of two heartbeats of their upstreams, about 1.2 s each.
    private static final Duration MIN_OUTAGE = Duration.ofSeconds(2);
    // Time constant of the moving average of the heartbeat rate, about eight heartbeats of each upstream.
    private static final double AVERAGING_SECONDS = 10;
    // With fewer, one delayed heartbeat would decide.
    private static final double MIN_OBSERVED_HEARTBEATS = 4;
    private static final double MIN_EXPECTED_HEARTBEATS = 2;
    private static final double NANOS_PER_SECOND = 1e9;

    /** What the calls of this gateway say of the store, in order of weight. */
    private enum Evidence {
        NONE,
        UNANSWERED_CALL,
        FAILED_CALL
    }

    private Evidence evidence = Evidence.NONE;
    private long evidenceNanos;
    private OptionalLong servedNanos = OptionalLong.empty();
    private double observedHeartbeats;
    private double observedSeconds;

    /**
     * Records that a call got no answer, on a connection that may have fallen silent.
     *
     * @param nowNanos monotonic time in ns
     */
    public void recordUnansweredCall(long nowNanos) {
        evidence = evidence == Evidence.NONE ? Evidence.UNANSWERED_CALL : evidence;
        evidenceNanos = nowNanos;
    }

    /**
     * Records that the store refused a call, or that it could not be reached on a new connection.
     *
     * @param nowNanos monotonic time in ns
     */
    public void recordFailedCall(long nowNanos) {
        evidence = Evidence.FAILED_CALL;
        evidenceNanos = nowNanos;
    }

    /**
     * Records that the store has served this gateway or a peer.
     *
     * @param heartbeats heartbeats that the store has taken since the service that was recorded before
     * @param nowNanos monotonic time in ns of the service
     * @return how long this gateway knew of no service, if entries may have expired in that time
     */
    public Optional<Duration> recordServed(Heartbeats heartbeats, long nowNanos) {
        long previousNanos = servedNanos.orElse(nowNanos);
        if (nowNanos - previousNanos < 0) {
            return Optional.empty();
        }
        Duration unserved = Duration.ofNanos(nowNanos - previousNanos);
        boolean isOutage = unserved.compareTo(MIN_OUTAGE) >= 0 && wasAway(heartbeats, unserved);
        if (nowNanos - evidenceNanos >= 0) {
            evidence = Evidence.NONE;
        }
        servedNanos = OptionalLong.of(nowNanos);
        if (isOutage) {
            return Optional.of(unserved);
        }
        observe(heartbeats, unserved);
        return Optional.empty();
    }

    private boolean wasAway(Heartbeats heartbeats, Duration unserved) {
        Optional<Duration> idle = idleTime(heartbeats, unserved);
        return switch (evidence) {
            case NONE -> false;
            case UNANSWERED_CALL ->
                idle.filter(t -> t.compareTo(MIN_OUTAGE) >= 0).isPresent();
            case FAILED_CALL ->
                idle.filter(t -> t.compareTo(heartbeatInterval()) < 0).isEmpty();
        };
    }

    /**
     * Returns the time in which no upstream wrote, as the part of the expected heartbeats that is missing; empty if too
     * few are expected. Upstreams that write as soon as the store is back make it appear up to one interval shorter.
     */
    private Optional<Duration> idleTime(Heartbeats heartbeats, Duration unserved) {
        if (observedHeartbeats < MIN_OBSERVED_HEARTBEATS) {
            return Optional.empty();
        }
        double expectedEach = seconds(unserved) / seconds(heartbeatInterval());
        if (expectedEach * heartbeats.countByUpstream().size() < MIN_EXPECTED_HEARTBEATS) {
            return Optional.empty();
        }
        // Another writer may have changed the sequence number of an entry.
        double maxEach = Math.ceil(expectedEach) + 1;
        double mean = heartbeats.countByUpstream().values().stream()
                .mapToDouble(n -> Math.min(n, maxEach))
                .average()
                .orElse(0);
        return Optional.of(
                unserved.minusNanos((long) (mean * heartbeatInterval().toNanos())));
    }

    private void observe(Heartbeats heartbeats, Duration time) {
        double weight = Math.exp(-seconds(time) / AVERAGING_SECONDS);
        observedHeartbeats = observedHeartbeats * weight
                + heartbeats.countByUpstream().values().stream()
                        .mapToLong(n -> n)
                        .sum();
        observedSeconds =
                observedSeconds * weight + heartbeats.countByUpstream().size() * seconds(time);
    }

    /** Returns the mean time between two heartbeats of an upstream. */
    private Duration heartbeatInterval() {
        return Duration.ofNanos((long) (observedSeconds / observedHeartbeats * NANOS_PER_SECOND));
    }

    private static double seconds(Duration d) {
        return d.toNanos() / NANOS_PER_SECOND;
    }
}
