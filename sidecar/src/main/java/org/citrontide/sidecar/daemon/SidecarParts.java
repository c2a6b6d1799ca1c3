package org.citrontide.sidecar.daemon;

import javax.inject.Singleton;

import dagger.Component;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.citrontide.sidecar.gate.GateShell;
import org.citrontide.store.configuration.ConfigurationService;
import org.citrontide.wire.link.LinkEndpoint;

/** The parts of a sidecar, wired by Dagger. */
@Singleton
@Component(modules = SidecarModule.class)
interface SidecarParts {
    PrometheusRegistry registry();

    GateShell gate();

    ConfigurationService configuration();

    LinkEndpoint links();
}
