package org.citrontide.gateway.upstream;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;

import org.citrontide.core.expertmap.RankReport;
import org.citrontide.core.routes.ListedUpstream;
import org.citrontide.gateway.store.PlatformClient;
import org.citrontide.gateway.store.PlatformResponse;
import org.citrontide.platform.DecodeException;
import org.citrontide.platform.EngineCalls;
import org.citrontide.runtime.log.EventLog;

/** Reads the reports of engines on their own state. Not thread-safe: owned by the event loop. */
public final class ReportReader {
    private static final EventLog LOG = EventLog.of(ReportReader.class);
    // Allows for several round trips between zones.
    private static final Duration TIMEOUT = Duration.ofMillis(250);
    private static final int OK = 200;

    private final PlatformClient client;

    /**
     * Creates a reader.
     *
     * @param client sends calls to the upstreams
     */
    public ReportReader(PlatformClient client) {
        this.client = client;
    }

    /**
     * Reads the report of one engine.
     *
     * @param upstream the engine
     * @param callback receives the report, or empty if the engine did not respond with a readable report or belongs to
     *     no group
     */
    public void read(ListedUpstream upstream, Consumer<Optional<RankReport>> callback) {
        client.call(
                        new InetSocketAddress(upstream.host(), upstream.port()),
                        EngineCalls.readReport().withExpectedUpstream(upstream.id()),
                        TIMEOUT)
                .whenComplete((reply, failure) -> callback.accept(
                        Optional.ofNullable(reply).filter(r -> r.status() == OK).flatMap(r -> decode(upstream, r))));
    }

    private static Optional<RankReport> decode(ListedUpstream upstream, PlatformResponse reply) {
        try {
            return EngineCalls.decodeReport(reply.body());
        } catch (DecodeException e) {
            LOG.warn("engine-answer-unreadable")
                    .with("upstream", upstream.id())
                    .with("why", e.getMessage())
                    .write();
            return Optional.empty();
        }
    }
}
