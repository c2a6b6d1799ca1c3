package org.citrontide.core.claim;

import java.util.LinkedHashMap;
import java.util.Optional;

/**
 * The answers of the latest keys, within a bound in bytes.
 *
 * <p>Invariant: the bodies kept add up to at most the bound; the oldest go first. Not thread-safe.
 */
final class AnswerMemory {
    private final LinkedHashMap<KeyHash, StoredAnswer> answers = new LinkedHashMap<>();
    private final int maxBytes;
    private int bytes;

    AnswerMemory(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    Optional<StoredAnswer> find(KeyHash key) {
        return Optional.ofNullable(answers.get(key));
    }

    void put(KeyHash key, StoredAnswer answer) {
        if (answer.body().length > maxBytes) {
            return;
        }
        forget(key);
        answers.put(key, answer);
        bytes += answer.body().length;
        while (bytes > maxBytes) {
            forget(answers.firstEntry().getKey());
        }
    }

    void forget(KeyHash key) {
        StoredAnswer old = answers.remove(key);
        if (old != null) {
            bytes -= old.body().length;
        }
    }
}
