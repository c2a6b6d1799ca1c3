package org.citrontide.core.claim;

import java.util.LinkedHashMap;
import java.util.Optional;

/**
 * Caches the responses to the most recent idempotency keys, up to a maximum number of bytes.
 *
 * <p>Invariant: the total size of the cached bodies is at most the maximum; the oldest entries are evicted first. Not
 * thread-safe.
 */
final class ResponseCache {
    private final LinkedHashMap<KeyHash, StoredResponse> responses = new LinkedHashMap<>();
    private final int maxBytes;
    private int bytes;

    ResponseCache(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    Optional<StoredResponse> find(KeyHash key) {
        return Optional.ofNullable(responses.get(key));
    }

    void put(KeyHash key, StoredResponse response) {
        if (response.body().length > maxBytes) {
            return;
        }
        remove(key);
        responses.put(key, response);
        bytes += response.body().length;
        while (bytes > maxBytes) {
            remove(responses.firstEntry().getKey());
        }
    }

    void remove(KeyHash key) {
        StoredResponse removed = responses.remove(key);
        if (removed != null) {
            bytes -= removed.body().length;
        }
    }
}
