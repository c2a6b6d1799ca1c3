package org.citrontide.wire.link;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;

import com.google.protobuf.ByteString;
import org.citrontide.wire.generated.ProcessIdentity;

/**
 * Computes proofs that a process holds the shared key: HMAC-SHA-256 over a label, both nonces and the identity of the
 * process.
 *
 * <p>Immutable and thread-safe.
 */
final class LinkAuthenticator {
    static final String HELLO = "hello";
    static final String WELCOME = "welcome";

    private static final String ALGORITHM = "HmacSHA256";
    private static final int NONCE_BYTES = 16;
    private static final SecureRandom RANDOM = new SecureRandom();

    private final SecretKeySpec key;

    LinkAuthenticator(String sharedKey) {
        this.key = new SecretKeySpec(sharedKey.getBytes(StandardCharsets.UTF_8), ALGORITHM);
    }

    static ByteString newNonce() {
        byte[] nonce = new byte[NONCE_BYTES];
        RANDOM.nextBytes(nonce);
        return ByteString.copyFrom(nonce);
    }

    ByteString computeProof(String label, ByteString acceptorNonce, ByteString diallerNonce, ProcessIdentity identity) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(key);
            mac.update(label.getBytes(StandardCharsets.UTF_8));
            mac.update((byte) acceptorNonce.size());
            mac.update(acceptorNonce.toByteArray());
            mac.update((byte) diallerNonce.size());
            mac.update(diallerNonce.toByteArray());
            mac.update(identity.toByteArray());
            return ByteString.copyFrom(mac.doFinal());
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("HMAC-SHA-256 is not available in this JDK", e);
        }
    }

    static boolean isEqual(ByteString a, ByteString b) {
        return MessageDigest.isEqual(a.toByteArray(), b.toByteArray());
    }
}
