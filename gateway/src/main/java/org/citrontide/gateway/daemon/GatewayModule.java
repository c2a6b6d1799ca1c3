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
import org.citrontide.core.gateway.RetrySlackShare;
import org.citrontide.gateway.admin.AdminPages;
import org.citrontide.gateway.admin.PeerPages;
import org.citrontide.gateway.admin.SmallHttpServer;
import org.citrontide.gateway.caller.CallerServer;
import org.citrontide.gateway.dispatch.GatewayMetrics;
import org.citrontide.gateway.dispatch.GatewayShell;

/** Builds the parts of a gateway. Used once, at the start of the process. */
@Module
final class GatewayModule {
    private final GatewaySettings settings;
    private final SplittableRandom random;
    private final BooleanSupplier ready;

    GatewayModule(GatewaySettings settings, long seed, BooleanSupplier ready) {
        this.settings = settings;
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
    EventLoopGroup loop() {
        return new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    }

    @Provides
    @Singleton
    @Named("admin")
    SmallHttpServer adminServer(EventLoopGroup loop, PrometheusRegistry registry) {
        return new SmallHttpServer(loop, new AdminPages(registry, ready));
    }

    @Provides
    @Singleton
    @Named("peers")
    SmallHttpServer peerServer(EventLoopGroup loop, ControlPlane control) {
        return new SmallHttpServer(loop, new PeerPages(control::storePage));
    }

    @Provides
    @Singleton
    RetrySlackShare slackShare() {
        return new RetrySlackShare(settings.repeatSlack());
    }

    @Provides
    @Singleton
    GatewayShell shell(EventLoopGroup loop, PrometheusRegistry registry, RandomGenerator r, RetrySlackShare slack) {
        GatewayDispatcher dispatcher = new GatewayDispatcher(
                settings.zone(),
                () -> new GatewayRetryBudget(settings.repeatRatio(), settings.repeatWindow(), slack),
                random.split());
        return new GatewayShell(dispatcher, loop.next(), r, new GatewayMetrics(registry, settings.maxTeamLabels()));
    }

    @Provides
    @Singleton
    CallerServer callerServer(EventLoopGroup loop, GatewayShell shell) {
        return new CallerServer(loop, shell, () -> shell.table().limits(), settings.maxConnections());
    }

    @Provides
    @Singleton
    ControlPlane controlPlane(EventLoopGroup loop, RandomGenerator r, GatewayShell shell, RetrySlackShare slack) {
        return new ControlPlane(settings, loop.next(), r, shell, slack);
    }
}
