package org.citrontide.gateway.admin;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.citrontide.platform.PlatformPaths;

/** Readiness, {@code /livez} and {@code /metrics}. Safe for use by many threads. */
public final class AdminPages implements SmallHttpServer.Pages {
    private final PrometheusRegistry registry;
    private final BooleanSupplier ready;

    /**
     * Makes the pages.
     *
     * @param registry the metrics to show
     * @param ready whether this process takes new connections
     */
    public AdminPages(PrometheusRegistry registry, BooleanSupplier ready) {
        this.registry = registry;
        this.ready = ready;
    }

    @Override
    public Page page(String path) throws IOException {
        return switch (path) {
            case PlatformPaths.READINESS, "/readyz" ->
                ready.getAsBoolean() ? Page.text("ready\n") : Page.unavailable("not ready\n");
            case "/livez" -> Page.text("live\n");
            case "/metrics" -> {
                ByteArrayOutputStream out = new ByteArrayOutputStream();
                PrometheusTextFormatWriter.create().write(out, registry.scrape());
                yield Page.text(out.toString(StandardCharsets.UTF_8));
            }
            default -> Page.unknown();
        };
    }
}
