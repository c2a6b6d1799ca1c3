package org.citrontide.entry.daemon;

import javax.inject.Singleton;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

import dagger.Module;
import dagger.Provides;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.citrontide.core.dispatch.DispatchEvent;
import org.citrontide.core.membership.UpstreamSubset;
import org.citrontide.entry.dispatch.DispatchShell;
import org.citrontide.entry.dispatch.EntryMetrics;
import org.citrontide.entry.http.EntryHandler;
import org.citrontide.runtime.eventloop.Clock;
import org.citrontide.store.client.StoreClient;
import org.citrontide.store.configuration.ConfigurationService;
import org.citrontide.store.configuration.StoreConfigurationReader;
import org.citrontide.store.links.ProcessLinkListener;
import org.citrontide.wire.generated.ProcessIdentity;
import org.citrontide.wire.link.LinkEndpoint;

/** The Dagger module that creates the objects of an entry. Used once, when the process starts. */
@Module
final class EntryModule {
    private static final int LINK_THREADS = 2;

    private final EntrySettings settings;
    private final SplittableRandom random;
    private final long incarnation;

    EntryModule(EntrySettings settings, long seed) {
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
    RandomGenerator random() {
        return random.split();
    }

    @Provides
    @Singleton
    EntryMetrics metrics(PrometheusRegistry registry) {
        return new EntryMetrics(registry, settings.maxTeamLabels());
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
    DispatchShell dispatch(RandomGenerator generator, EntryMetrics metrics) {
        String zone = settings.process().zone();
        UpstreamSubset subset = new UpstreamSubset(settings.process().vm(), zone, settings.maxLinks());
        return new DispatchShell(zone, subset, settings.maxOpenRequests(), generator, Clock.SYSTEM, metrics);
    }

    @Provides
    @Singleton
    ConfigurationService configuration(StoreClient store, RandomGenerator generator, DispatchShell dispatch) {
        return new ConfigurationService(
                new StoreConfigurationReader(store),
                Clock.SYSTEM,
                generator,
                c -> dispatch.submit(new DispatchEvent.ConfigurationChanged(c)));
    }

    @Provides
    @Singleton
    LinkEndpoint links(ConfigurationService configuration, DispatchShell dispatch) {
        ProcessIdentity self = ProcessIdentity.newBuilder()
                .setVm(settings.process().vm())
                .setZone(settings.process().zone())
                .setRole("entry")
                .setIncarnation(incarnation)
                .build();
        return new LinkEndpoint(
                LINK_THREADS, settings.process().linkKey(), self, new ProcessLinkListener(configuration, dispatch));
    }

    @Provides
    @Singleton
    EntryHandler handler(ConfigurationService configuration, DispatchShell dispatch) {
        return new EntryHandler(configuration, dispatch, Clock.SYSTEM, incarnation);
    }
}
