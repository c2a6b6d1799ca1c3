package org.citrontide.gateway.admin;

import java.util.Optional;
import java.util.function.Supplier;

import org.citrontide.platform.MetadataStore;

/**
 * Serves this gateway's copy of the store, under the path of the store's own call, to peers to which the store is
 * unavailable.
 *
 * <p>Not thread-safe: called on the event loop, to which the copy is confined.
 */
public final class PeerPages implements PageServer.PageProvider {
    private final Supplier<Optional<byte[]>> copy;

    /**
     * Creates the pages.
     *
     * @param copy supplies the items as one page of the store, or empty if the copy is not recent enough
     */
    public PeerPages(Supplier<Optional<byte[]>> copy) {
        this.copy = copy;
    }

    @Override
    public Page page(String path) {
        if (!path.equals(MetadataStore.RANGE_PATH)) {
            return Page.notFound();
        }
        return copy.get().map(Page::json).orElseGet(() -> Page.unavailable("the copy is not fresh\n"));
    }
}
