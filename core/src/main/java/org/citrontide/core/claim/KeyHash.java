package org.citrontide.core.claim;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

import org.apache.commons.codec.digest.DigestUtils;

/**
 * The first 128 bits of the SHA-256 of a service, a team and an idempotency key. Immutable.
 *
 * @param high first 64 bits
 * @param low next 64 bits
 */
public record KeyHash(long high, long low) {
    /** Number of buckets over which the keys of a service are distributed. */
    public static final int BUCKETS = 64;

    private static final char SEPARATOR = '\n';

    /**
     * Returns the hash of an idempotency key, scoped to its service and team.
     *
     * @param service name of the service
     * @param team name of the team
     * @param key the caller's idempotency key
     * @return the hash
     */
    public static KeyHash of(String service, String team, String key) {
        String text = service + SEPARATOR + team + SEPARATOR + key;
        ByteBuffer digest = ByteBuffer.wrap(DigestUtils.sha256(text.getBytes(StandardCharsets.UTF_8)));
        return new KeyHash(digest.getLong(), digest.getLong());
    }

    /**
     * Returns the number of the bucket that stores the claim for this key.
     *
     * @return a number from 0 to {@link #BUCKETS} - 1
     */
    public int bucket() {
        return (int) Long.remainderUnsigned(high, BUCKETS);
    }
}
