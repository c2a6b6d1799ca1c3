package org.citrontide.sidecar.daemon;

import javax.inject.Singleton;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.SplittableRandom;

import dagger.Module;
import dagger.Provides;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.citrontide.runtime.eventloop.Clock;
import org.citrontide.sidecar.gate.ClaimStore;
import org.citrontide.sidecar.gate.GateShell;
import org.citrontide.sidecar.gate.SidecarMetrics;
import org.citrontide.sidecar.gate.UpstreamRequestFactory;
import org.citrontide.store.client.HttpClients;
import org.citrontide.store.client.StoreClient;
import org.citrontide.store.configuration.ConfigurationService;
import org.citrontide.store.configuration.StoreConfigurationReader;
import org.citrontide.store.links.ProcessLinkListener;
import org.citrontide.wire.generated.ProcessIdentity;
import org.citrontide.wire.link.LinkEndpoint;

/** Builds the parts of a sidecar. Used once, at the start of the process. */
@Module
final class SidecarModule {
    private static final int UPSTREAM_THREADS = 6;
    private static final int LINK_THREADS = 1;

    private final SidecarSettings settings;
    private final SplittableRandom random;
    private final long incarnation;

    SidecarModule(SidecarSettings settings, long seed) {
        this.settings = settings;
        this.random = new SplittableRandom(seed);
        this.incarnation = random.nextLong();
    }

    @Provides
    @Singleton
    PrometheusRegistry registry() {
        return new PrometheusRegistry();
    }

    @Provides
    @Singleton
    StoreClient store() {
        try {
            return StoreClient.connect(settings.process().stores());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Provides
    @Singleton
    GateShell gate(StoreClient store, PrometheusRegistry registry) {
        try {
            return new GateShell(
                    settings.service(),
                    incarnation,
                    new UpstreamRequestFactory(
                            HttpClients.start("upstream-client", UPSTREAM_THREADS, settings.upstreamConnections()),
                            settings.upstreamAddress()),
                    new ClaimStore(store, settings.service()),
                    Clock.SYSTEM,
                    new SidecarMetrics(registry, settings.maxTeamLabels()));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Provides
    @Singleton
    ConfigurationService configuration(StoreClient store, GateShell gate) {
        return new ConfigurationService(
                new StoreConfigurationReader(store), Clock.SYSTEM, random.split(), gate::changeConfiguration);
    }

    @Provides
    @Singleton
    LinkEndpoint links(ConfigurationService configuration, GateShell gate) {
        ProcessIdentity self = ProcessIdentity.newBuilder()
                .setVm(settings.process().vm())
                .setZone(settings.process().zone())
                .setRole("sidecar")
                .setIncarnation(incarnation)
                .setService(settings.service())
                .build();
        return new LinkEndpoint(
                LINK_THREADS, settings.process().linkKey(), self, new ProcessLinkListener(configuration, gate));
    }
}
