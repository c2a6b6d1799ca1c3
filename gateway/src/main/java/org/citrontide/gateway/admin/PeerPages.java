package org.citrontide.gateway.admin;

import java.util.Optional;
import java.util.function.Supplier;

import org.citrontide.platform.MetadataStore;

/**
 * This gateway's copy of the store for peers that the store turns away, under the path of the store's own call.
 *
 * <p>Not thread-safe: called on the event loop, which owns the copy.
 */
public final class PeerPages implements SmallHttpServer.Pages {
    private final Supplier<Optional<byte[]>> copy;

    /**
     * Makes the pages.
     *
     * @param copy the items as one page, or empty if the copy is not fresh
     */
    public PeerPages(Supplier<Optional<byte[]>> copy) {
        this.copy = copy;
    }

    @Override
    public Page page(String path) {
        if (!path.equals(MetadataStore.RANGE_PATH)) {
            return Page.unknown();
        }
        return copy.get().map(Page::json).orElseGet(() -> Page.unavailable("the copy is not fresh\n"));
    }
}
