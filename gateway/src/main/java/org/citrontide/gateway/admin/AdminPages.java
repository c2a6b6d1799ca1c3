package org.citrontide.gateway.admin;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.citrontide.platform.PlatformPaths;

/** Serves the readiness pages, {@code /livez} and {@code /metrics}. Thread-safe if the readiness check is. */
public final class AdminPages implements PageServer.PageProvider {
    private final PrometheusRegistry registry;
    private final BooleanSupplier ready;

    /**
     * Creates the pages.
     *
     * @param registry the metrics that {@code /metrics} returns
     * @param ready whether this process accepts requests; decides the status of the readiness pages
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
            default -> Page.notFound();
        };
    }
}
