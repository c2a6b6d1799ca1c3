package org.citrontide.gateway.admin;

import java.util.Optional;
import java.util.function.Supplier;

import org.citrontide.gateway.store.CrashEvidenceStore;
import org.citrontide.platform.DecodeException;
import org.citrontide.platform.MetadataStore;

/**
 * Serves peers to which the store is unavailable: returns this gateway's copy of the store, under the path of the
 * store's own call, and takes the evidence on crashes that they can't write.
 *
 * <p>Not thread-safe: called on the event loop, to which the copy is confined.
 */
public final class PeerPages implements PageServer.PageProvider {
    private final Supplier<Optional<byte[]>> copy;
    private final EvidenceReceiver receiver;

    /** Takes the evidence of peers. */
    @FunctionalInterface
    public interface EvidenceReceiver {

        /**
         * Takes the evidence of a peer.
         *
         * @param page encoded page of evidence
         * @throws DecodeException if the page is malformed
         */
        void receive(byte[] page) throws DecodeException;
    }

    /**
     * Creates the pages.
     *
     * @param copy supplies the items as one page of the store, or empty if the copy is not recent enough
     * @param receiver takes the evidence of peers
     */
    public PeerPages(Supplier<Optional<byte[]>> copy, EvidenceReceiver receiver) {
        this.copy = copy;
        this.receiver = receiver;
    }

    @Override
    public Page page(String path) {
        if (!path.equals(MetadataStore.RANGE_PATH)) {
            return Page.notFound();
        }
        return copy.get().map(Page::json).orElseGet(() -> Page.unavailable("the copy is not fresh\n"));
    }

    @Override
    public Page submit(String path, byte[] body) {
        if (!path.equals(CrashEvidenceStore.PEER_PATH)) {
            return Page.notFound();
        }
        try {
            receiver.receive(body);
            return Page.text("received\n");
        } catch (DecodeException e) {
            return Page.badRequest(e.getMessage() + '\n');
        }
    }
}
