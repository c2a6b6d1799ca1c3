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

/** Reads what engines report of themselves. Not thread-safe: owned by the event loop. */
public final class ReportReader {
    private static final EventLog LOG = EventLog.of(ReportReader.class);
    // Several round trips between zones.
    private static final Duration TIMEOUT = Duration.ofMillis(250);
    private static final int OK = 200;

    private final PlatformClient caller;

    /**
     * Makes a reader.
     *
     * @param caller sends calls to the upstreams
     */
    public ReportReader(PlatformClient caller) {
        this.caller = caller;
    }

    /**
     * Reads the report of one engine.
     *
     * @param u the engine
     * @param then takes the report, or nothing if the engine did not answer or is a member of no group
     */
    public void read(ListedUpstream u, Consumer<Optional<RankReport>> then) {
        caller.call(
                        new InetSocketAddress(u.host(), u.port()),
                        EngineCalls.readReport().onlyFor(u.id()),
                        TIMEOUT)
                .whenComplete((reply, failure) -> then.accept(
                        Optional.ofNullable(reply).filter(r -> r.status() == OK).flatMap(r -> decode(u, r))));
    }

    private static Optional<RankReport> decode(ListedUpstream u, PlatformResponse reply) {
        try {
            return EngineCalls.report(reply.body());
        } catch (DecodeException e) {
            LOG.warn("engine-answer-unreadable")
                    .with("upstream", u.id())
                    .with("why", e.getMessage())
                    .write();
            return Optional.empty();
        }
    }
}
