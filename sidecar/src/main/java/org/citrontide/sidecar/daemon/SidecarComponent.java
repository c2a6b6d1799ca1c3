package org.citrontide.sidecar.daemon;

import javax.inject.Singleton;

import dagger.Component;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.citrontide.sidecar.gate.GateShell;
import org.citrontide.store.configuration.ConfigurationService;
import org.citrontide.wire.link.LinkEndpoint;

/** The Dagger component that provides the objects of a sidecar. */
@Singleton
@Component(modules = SidecarModule.class)
interface SidecarComponent {
    PrometheusRegistry registry();

    GateShell gate();

    ConfigurationService configuration();

    LinkEndpoint links();
}
