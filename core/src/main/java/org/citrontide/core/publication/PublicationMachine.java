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
import org.citrontide.core.toml.Checked;

/**
 * Puts a set of files in force by one compare-and-swap on the head.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>Every file's content is written before a head that names it.
 *   <li>A file that another publication changed since this one first read the head is never overwritten.
 *   <li>The whole configuration is validated before each write of the head.
 *   <li>A write of the head with a lost answer is settled by finding this publication's id in the head.
 * </ul>
 *
 * <p>One action at a time is outstanding; its outcome is the next event. Not thread-safe; it does no I/O.
 */
public final class PublicationMachine {
    private static final int MAX_FAILURES = 4;
    private static final Duration FIRST_DELAY = Duration.ofMillis(100);

    private final String id;
    private final Map<String, Optional<String>> changes;
    private final Map<String, String> textByHash = new HashMap<>();
    private final Set<String> writtenHashes = new HashSet<>();
    private final Deque<String> hashesToRead = new ArrayDeque<>();
    private Optional<Head> base = Optional.empty();
    private Head current = Head.EMPTY;
    private long revision;
    private int failures;
    private boolean headMayBeWritten;
    private boolean headWriteOutstanding;

    /**
     * Prepares a publication.
     *
     * @param id random identifier, never used before
     * @param changes new content by file name, or empty to remove the file
     */
    public PublicationMachine(String id, Map<String, Optional<String>> changes) {
        this.id = id;
        this.changes = new TreeMap<>(changes);
        for (Optional<String> text : changes.values()) {
            text.ifPresent(t -> textByHash.put(hash(t), t));
        }
    }

    /**
     * Returns the hash under which a content is stored.
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
     * Takes the outcome of the last action.
     *
     * @param event what happened
     * @return the next action
     */
    public PublicationAction on(PublicationEvent event) {
        return switch (event) {
            case PublicationEvent.HeadRead h -> headRead(h);
            case PublicationEvent.FileRead f -> {
                textByHash.put(f.hash(), f.text());
                yield prepare();
            }
            case PublicationEvent.FileWritten f -> {
                writtenHashes.add(f.hash());
                yield prepare();
            }
            case PublicationEvent.HeadWritten w -> finish(new PublicationResult.Published(current.version() + 1));
            case PublicationEvent.HeadConflict c -> {
                headWriteOutstanding = false;
                yield new PublicationAction.ReadHead(Duration.ZERO);
            }
            case PublicationEvent.CallFailed f -> failed(f);
        };
    }

    private PublicationAction headRead(PublicationEvent.HeadRead read) {
        current = read.head();
        revision = read.revision();
        Optional<Long> own = ownVersion();
        if (own.isPresent()) {
            return finish(new PublicationResult.Published(own.get()));
        }
        if (base.isEmpty()) {
            base = Optional.of(current);
        }
        Optional<PublicationResult> conflict = conflict();
        if (conflict.isPresent()) {
            return finish(conflict.get());
        }
        if (changes.keySet().stream().noneMatch(this::isChange)) {
            return finish(new PublicationResult.Unchanged(current.version()));
        }
        hashesToRead.clear();
        current.files().forEach((name, file) -> {
            if (!changes.containsKey(name) && !textByHash.containsKey(file.hash())) {
                hashesToRead.add(file.hash());
            }
        });
        return prepare();
    }

    private Optional<Long> ownVersion() {
        Stream<Long> asPublication =
                current.publications().stream().filter(p -> p.id().equals(id)).map(Head.Publication::version);
        Stream<Long> asFile = current.files().values().stream()
                .filter(f -> f.publicationId().equals(id))
                .map(Head.HeadFile::version);
        return Stream.concat(asPublication, asFile).findFirst();
    }

    private Optional<PublicationResult> conflict() {
        for (String name : changes.keySet()) {
            Optional<Head.HeadFile> then =
                    Optional.ofNullable(base.orElseThrow().files().get(name));
            Optional<Head.HeadFile> now = Optional.ofNullable(current.files().get(name));
            if (!then.equals(now) && isChange(name)) {
                String rival = now.map(Head.HeadFile::publicationId)
                        .orElseGet(() -> current.publications().isEmpty()
                                ? ""
                                : current.publications().getFirst().id());
                return Optional.of(new PublicationResult.Conflict(name, rival));
            }
        }
        return Optional.empty();
    }

    private boolean isChange(String name) {
        Optional<String> now = Optional.ofNullable(current.files().get(name)).map(Head.HeadFile::hash);
        return !now.equals(changes.get(name).map(PublicationMachine::hash));
    }

    /** Reads what is missing, validates, writes contents, then the head. */
    private PublicationAction prepare() {
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
        Checked<Configuration> checked = Configuration.check(next.version(), files);
        if (checked.value().isEmpty()) {
            return finish(new PublicationResult.Invalid(checked.violations()));
        }
        for (Map.Entry<String, Optional<String>> e : changes.entrySet()) {
            Optional<String> text = e.getValue().filter(t -> !writtenHashes.contains(hash(t)));
            if (text.isPresent()) {
                return new PublicationAction.WriteFile(hash(text.get()), text.get());
            }
        }
        headWriteOutstanding = true;
        return new PublicationAction.WriteHead(revision, next);
    }

    private Head nextHead() {
        long version = current.version() + 1;
        Map<String, Head.HeadFile> files = new HashMap<>(current.files());
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
        current.publications().stream().limit(Head.REMEMBERED_PUBLICATIONS - 1L).forEach(publications::add);
        return new Head(version, files, publications);
    }

    private PublicationAction failed(PublicationEvent.CallFailed f) {
        headMayBeWritten |= headWriteOutstanding && f.mayHaveTakenEffect();
        headWriteOutstanding = false;
        failures++;
        if (failures >= MAX_FAILURES) {
            return finish(new PublicationResult.Unreachable(headMayBeWritten));
        }
        return new PublicationAction.ReadHead(FIRST_DELAY.multipliedBy(1L << failures));
    }

    private static PublicationAction finish(PublicationResult result) {
        return new PublicationAction.Finish(result);
    }
}
