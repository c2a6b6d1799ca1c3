package org.citrontide.gateway.daemon;

import javax.inject.Named;
import javax.inject.Singleton;

import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;

import dagger.Module;
import dagger.Provides;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.citrontide.core.gateway.GatewayDispatcher;
import org.citrontide.core.gateway.GatewayRetryBudget;
import org.citrontide.core.gateway.ResponseMemory;
import org.citrontide.core.gateway.RetrySlackShare;
import org.citrontide.core.memory.MemoryLedger;
import org.citrontide.gateway.admin.AdminPages;
import org.citrontide.gateway.admin.PageServer;
import org.citrontide.gateway.admin.PeerPages;
import org.citrontide.gateway.caller.CallerServer;
import org.citrontide.gateway.dispatch.GatewayMetrics;
import org.citrontide.gateway.dispatch.GatewayShell;
import org.citrontide.gateway.memory.LoopLagMonitor;
import org.citrontide.gateway.memory.MemoryGuard;
import org.citrontide.gateway.upstream.ResponseFaults;

/** Provides the objects of {@link GatewayComponent}. Used once, when the process starts. */
@Module
final class GatewayModule {
    private final GatewaySettings settings;
    private final long startNanos;
    private final SplittableRandom random;
    private final BooleanSupplier ready;

    GatewayModule(GatewaySettings settings, long seed, long startNanos, BooleanSupplier ready) {
        this.settings = settings;
        this.startNanos = startNanos;
        this.random = new SplittableRandom(seed);
        this.ready = ready;
    }

    @Provides
    @Singleton
    PrometheusRegistry registry() {
        return new PrometheusRegistry();
    }

    @Provides
    RandomGenerator random() {
        return random.split();
    }

    @Provides
    @Singleton
    EventLoopGroup eventLoops() {
        return new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    }

    @Provides
    @Singleton
    @Named("admin")
    PageServer adminServer(EventLoopGroup eventLoops, PrometheusRegistry registry) {
        return new PageServer(eventLoops, new AdminPages(registry, ready));
    }

    @Provides
    @Singleton
    @Named("peers")
    PageServer peerServer(EventLoopGroup eventLoops, ControlPlane controlPlane) {
        return new PageServer(eventLoops, new PeerPages(controlPlane::storePage, controlPlane::receiveCrashEvidence));
    }

    @Provides
    @Singleton
    RetrySlackShare slackShare() {
        return new RetrySlackShare(settings.retrySlack());
    }

    @Provides
    @Singleton
    GatewayShell shell(
            EventLoopGroup eventLoops,
            PrometheusRegistry registry,
            RandomGenerator r,
            RetrySlackShare slackShare,
            MemoryLedger ledger) {
        GatewayDispatcher dispatcher = new GatewayDispatcher(
                settings.zone(),
                settings.locality().regionByZone(),
                () -> new GatewayRetryBudget(settings.retryRatio(), settings.retryWindow(), slackShare, startNanos),
                random.split(),
                settings.cold(),
                settings.placement());
        GatewayShell shell = new GatewayShell(
                dispatcher,
                eventLoops.next(),
                r,
                new GatewayMetrics(registry, settings.maxTeamLabels()),
                new ResponseMemory(settings.responseMemoryBytes(), ledger, System::nanoTime),
                new ResponseFaults(registry));
        shell.setMaxStartupRequests(settings.maxStartupRequests());
        return shell;
    }

    @Provides
    @Singleton
    MemoryLedger memoryLedger() {
        return new MemoryLedger(settings.memory().bounds(settings.responseMemoryBytes()));
    }

    @Provides
    @Singleton
    MemoryGuard memoryGuard(MemoryLedger ledger, PrometheusRegistry registry) {
        return new MemoryGuard(ledger, registry);
    }

    @Provides
    @Singleton
    LoopLagMonitor loopLagMonitor(EventLoopGroup eventLoops, PrometheusRegistry registry) {
        return new LoopLagMonitor(eventLoops.next(), settings.memory().lagBound(), registry);
    }

    @Provides
    @Singleton
    CallerServer callerServer(EventLoopGroup eventLoops, GatewayShell shell, MemoryGuard memoryGuard) {
        return new CallerServer(
                eventLoops,
                shell,
                () -> shell.table().limits(),
                settings.maxConnections(),
                memoryGuard,
                settings.memory().progressRule());
    }

    @Provides
    @Singleton
    ControlPlane controlPlane(
            EventLoopGroup eventLoops, RandomGenerator r, GatewayShell shell, RetrySlackShare slackShare) {
        return new ControlPlane(settings, eventLoops.next(), r, shell, slackShare);
    }
}
