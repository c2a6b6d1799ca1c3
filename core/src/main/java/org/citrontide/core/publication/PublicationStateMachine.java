package org.citrontide.core.publication;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;

import org.apache.commons.codec.digest.DigestUtils;
import org.citrontide.core.toml.ValidationResult;

/**
 * Publishes a set of file changes atomically, by one compare-and-set on the head.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>The content of each file is written before a head that refers to it.
 *   <li>A file that another publication changed since this one first read the head is never overwritten.
 *   <li>The whole configuration is validated before each write of the head.
 *   <li>After a write of the head with an unknown outcome, the publication succeeded if the head contains its id.
 * </ul>
 *
 * <p>At most one action is outstanding; its outcome is the next event. Not thread-safe; it does no I/O.
 */
public final class PublicationStateMachine {
    private static final int MAX_FAILURES = 4;
    private static final Duration BASE_RETRY_DELAY = Duration.ofMillis(100);

    private final String id;
    private final Map<String, Optional<String>> changes;
    private final Map<String, String> textByHash = new HashMap<>();
    private final Set<String> writtenHashes = new HashSet<>();
    private final Deque<String> hashesToRead = new ArrayDeque<>();
    private Optional<Head> baseHead = Optional.empty();
    private Head currentHead = Head.EMPTY;
    private long headRevision;
    private int failures;
    private boolean headMayBeWritten;
    private boolean isHeadWriteOutstanding;

    /**
     * Creates a publication that has not started.
     *
     * @param id random identifier, unique to this publication
     * @param changes new content by file name, empty to remove the file
     */
    public PublicationStateMachine(String id, Map<String, Optional<String>> changes) {
        this.id = id;
        this.changes = new TreeMap<>(changes);
        for (Optional<String> text : changes.values()) {
            text.ifPresent(t -> textByHash.put(hash(t), t));
        }
    }

    /**
     * Returns the hash under which a file's content is stored.
     *
     * @param text the content
     * @return lower-case hexadecimal SHA-256
     */
    public static String hash(String text) {
        return DigestUtils.sha256Hex(text);
    }

    /**
     * Starts the publication.
     *
     * @return the first action
     */
    public PublicationAction start() {
        return new PublicationAction.ReadHead(Duration.ZERO);
    }

    /**
     * Handles the outcome of the last action.
     *
     * @param event outcome of the last action
     * @return the next action
     */
    public PublicationAction handle(PublicationEvent event) {
        return switch (event) {
            case PublicationEvent.HeadRead h -> handleHeadRead(h);
            case PublicationEvent.FileRead f -> {
                textByHash.put(f.hash(), f.text());
                yield nextStep();
            }
            case PublicationEvent.FileWritten f -> {
                writtenHashes.add(f.hash());
                yield nextStep();
            }
            case PublicationEvent.HeadWritten w -> finish(new PublicationResult.Published(currentHead.version() + 1));
            case PublicationEvent.HeadConflict c -> {
                isHeadWriteOutstanding = false;
                yield new PublicationAction.ReadHead(Duration.ZERO);
            }
            case PublicationEvent.CallFailed f -> handleCallFailed(f);
        };
    }

    private PublicationAction handleHeadRead(PublicationEvent.HeadRead event) {
        currentHead = event.head();
        headRevision = event.revision();
        Optional<Long> ownVersion = findOwnVersion();
        if (ownVersion.isPresent()) {
            return finish(new PublicationResult.Published(ownVersion.get()));
        }
        if (baseHead.isEmpty()) {
            baseHead = Optional.of(currentHead);
        }
        Optional<PublicationResult> conflict = findConflict();
        if (conflict.isPresent()) {
            return finish(conflict.get());
        }
        if (changes.keySet().stream().noneMatch(this::isChange)) {
            return finish(new PublicationResult.Unchanged(currentHead.version()));
        }
        hashesToRead.clear();
        currentHead.files().forEach((name, file) -> {
            if (!changes.containsKey(name) && !textByHash.containsKey(file.hash())) {
                hashesToRead.add(file.hash());
            }
        });
        return nextStep();
    }

    private Optional<Long> findOwnVersion() {
        Stream<Long> listedVersions = currentHead.publications().stream()
                .filter(p -> p.id().equals(id))
                .map(Head.Publication::version);
        Stream<Long> fileVersions = currentHead.files().values().stream()
                .filter(f -> f.publicationId().equals(id))
                .map(Head.HeadFile::version);
        return Stream.concat(listedVersions, fileVersions).findFirst();
    }

    private Optional<PublicationResult> findConflict() {
        for (String name : changes.keySet()) {
            Optional<Head.HeadFile> baseFile =
                    Optional.ofNullable(baseHead.orElseThrow().files().get(name));
            Optional<Head.HeadFile> currentFile =
                    Optional.ofNullable(currentHead.files().get(name));
            if (!baseFile.equals(currentFile) && isChange(name)) {
                String otherId = currentFile
                        .map(Head.HeadFile::publicationId)
                        .orElseGet(() -> currentHead.publications().isEmpty()
                                ? ""
                                : currentHead.publications().getFirst().id());
                return Optional.of(new PublicationResult.Conflict(name, otherId));
            }
        }
        return Optional.empty();
    }

    private boolean isChange(String name) {
        Optional<String> currentHash =
                Optional.ofNullable(currentHead.files().get(name)).map(Head.HeadFile::hash);
        return !currentHash.equals(changes.get(name).map(PublicationStateMachine::hash));
    }

    /** Reads missing contents, validates all files, writes new contents, then writes the head. */
    private PublicationAction nextStep() {
        while (!hashesToRead.isEmpty()) {
            String hash = hashesToRead.poll();
            if (!textByHash.containsKey(hash)) {
                return new PublicationAction.ReadFile(hash);
            }
        }
        Head next = nextHead();
        Map<String, Configuration.FileText> files = new HashMap<>();
        next.files()
                .forEach((name, f) ->
                        files.put(name, new Configuration.FileText(f.version(), textByHash.get(f.hash()))));
        ValidationResult<Configuration> checked = Configuration.check(next.version(), files);
        if (checked.value().isEmpty()) {
            return finish(new PublicationResult.Invalid(checked.violations()));
        }
        for (Map.Entry<String, Optional<String>> e : changes.entrySet()) {
            Optional<String> text = e.getValue().filter(t -> !writtenHashes.contains(hash(t)));
            if (text.isPresent()) {
                return new PublicationAction.WriteFile(hash(text.get()), text.get());
            }
        }
        isHeadWriteOutstanding = true;
        return new PublicationAction.WriteHead(headRevision, next);
    }

    private Head nextHead() {
        long version = currentHead.version() + 1;
        Map<String, Head.HeadFile> files = new HashMap<>(currentHead.files());
        for (Map.Entry<String, Optional<String>> e : changes.entrySet()) {
            if (!isChange(e.getKey())) {
                continue;
            }
            if (e.getValue().isPresent()) {
                files.put(
                        e.getKey(), new Head.HeadFile(version, hash(e.getValue().get()), id));
            } else {
                files.remove(e.getKey());
            }
        }
        List<Head.Publication> publications = new ArrayList<>();
        publications.add(new Head.Publication(id, version));
        currentHead.publications().stream().limit(Head.MAX_PUBLICATIONS - 1L).forEach(publications::add);
        return new Head(version, files, publications);
    }

    private PublicationAction handleCallFailed(PublicationEvent.CallFailed event) {
        headMayBeWritten |= isHeadWriteOutstanding && event.mayHaveTakenEffect();
        isHeadWriteOutstanding = false;
        failures++;
        if (failures >= MAX_FAILURES) {
            return finish(new PublicationResult.Unreachable(headMayBeWritten));
        }
        return new PublicationAction.ReadHead(BASE_RETRY_DELAY.multipliedBy(1L << failures));
    }

    private static PublicationAction finish(PublicationResult result) {
        return new PublicationAction.Finish(result);
    }
}
