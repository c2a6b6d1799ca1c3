package org.citrontide.entry.daemon;

import javax.inject.Singleton;

import java.util.random.RandomGenerator;

import dagger.Component;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.citrontide.entry.dispatch.DispatchShell;
import org.citrontide.entry.http.EntryHandler;
import org.citrontide.store.client.StoreClient;
import org.citrontide.store.configuration.ConfigurationService;
import org.citrontide.wire.link.LinkEndpoint;

/** The Dagger component that provides the objects of an entry. */
@Singleton
@Component(modules = EntryModule.class)
interface EntryComponent {
    PrometheusRegistry registry();

    RandomGenerator random();

    StoreClient store();

    DispatchShell dispatch();

    ConfigurationService configuration();

    LinkEndpoint links();

    EntryHandler handler();
}
