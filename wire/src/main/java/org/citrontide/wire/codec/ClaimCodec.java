package org.citrontide.wire.codec;

import java.util.ArrayList;
import java.util.List;

import com.google.protobuf.InvalidProtocolBufferException;
import org.citrontide.core.claim.Claim;
import org.citrontide.core.claim.ClaimHolder;
import org.citrontide.core.claim.KeyHash;
import org.citrontide.wire.generated.ClaimBucket;
import org.citrontide.wire.generated.ClaimRecord;

/** Encodes claim buckets as values of the platform's key-value service and decodes them. Stateless and thread-safe. */
public final class ClaimCodec {
    private ClaimCodec() {}

    /**
     * Encodes a bucket.
     *
     * @param claims the claims in the bucket
     * @return the encoded value
     */
    public static byte[] encode(List<Claim> claims) {
        ClaimBucket.Builder b = ClaimBucket.newBuilder();
        for (Claim c : claims) {
            b.addClaims(ClaimRecord.newBuilder()
                    .setKeyHigh(c.key().high())
                    .setKeyLow(c.key().low())
                    .setIncarnation(c.holder().incarnation())
                    .setAttempt(c.holder().attempt())
                    .setExpiresEpochMs(c.expiresEpochMillis()));
        }
        return b.build().toByteArray();
    }

    /**
     * Decodes a bucket.
     *
     * @param value the encoded value
     * @return the claims in the bucket
     * @throws InvalidProtocolBufferException if the value is not an encoded bucket
     */
    public static List<Claim> decode(byte[] value) throws InvalidProtocolBufferException {
        List<Claim> claims = new ArrayList<>();
        for (ClaimRecord r : ClaimBucket.parseFrom(value).getClaimsList()) {
            claims.add(new Claim(
                    new KeyHash(r.getKeyHigh(), r.getKeyLow()),
                    new ClaimHolder(r.getIncarnation(), r.getAttempt()),
                    r.getExpiresEpochMs()));
        }
        return claims;
    }
}
