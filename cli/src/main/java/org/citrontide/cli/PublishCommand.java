package org.citrontide.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.InvalidProtocolBufferException;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.citrontide.core.publication.Configuration;
import org.citrontide.core.publication.Head;
import org.citrontide.core.publication.PublicationAction;
import org.citrontide.core.publication.PublicationEvent;
import org.citrontide.core.publication.PublicationResult;
import org.citrontide.core.publication.PublicationStateMachine;
import org.citrontide.core.toml.ValidationResult;
import org.citrontide.store.client.StoreClient;
import org.citrontide.store.client.StoreReply;
import org.citrontide.store.configuration.StoredConfiguration;
import org.citrontide.wire.codec.ConfigurationCodec;

/** The command {@code publish}. */
final class PublishCommand implements Command {
    private static final String REMOVE = "remove";

    @Override
    public String name() {
        return "publish";
    }

    @Override
    public String operands() {
        return "DIR";
    }

    @Override
    public String summary() {
        return "Puts the service files in a directory in force.";
    }

    @Override
    public Options options() {
        return Stores.options().addOption(null, REMOVE, true, "name of a file to take out of force");
    }

    @Override
    public ExitCode run(CommandLine line) throws IOException, UsageException {
        if (line.getArgList().size() != 1) {
            throw new UsageException("one directory is needed");
        }
        Map<String, String> texts = Files.directory(line.getArgList().getFirst());
        ValidationResult<Configuration> checked = Files.check(texts);
        if (checked.value().isEmpty()) {
            Files.print(checked.violations());
            return ExitCode.REFUSED;
        }
        Map<String, Optional<String>> changes = new HashMap<>();
        texts.forEach((name, text) -> changes.put(name, Optional.of(text)));
        if (line.hasOption(REMOVE)) {
            changes.put(line.getOptionValue(REMOVE), Optional.empty());
        }
        String id = UUID.randomUUID().toString();
        return report(id, publish(Stores.connect(line), new PublicationStateMachine(id, changes)));
    }

    private static PublicationResult publish(StoreClient store, PublicationStateMachine machine) {
        PublicationAction action = machine.start();
        while (true) {
            if (action instanceof PublicationAction.Finish f) {
                return f.result();
            }
            action = machine.handle(perform(store, action));
        }
    }

    private static PublicationEvent perform(StoreClient store, PublicationAction action) {
        return switch (action) {
            case PublicationAction.ReadHead r -> {
                pause(r.delay());
                yield headRead(store.get(StoredConfiguration.HEAD_KEY).join());
            }
            case PublicationAction.ReadFile r ->
                store.get(StoredConfiguration.FILE_PREFIX + r.hash()).join() instanceof StoreReply.Value v
                        ? new PublicationEvent.FileRead(r.hash(), new String(v.value(), StandardCharsets.UTF_8))
                        : new PublicationEvent.CallFailed(false);
            case PublicationAction.WriteFile w -> fileWritten(store, w);
            case PublicationAction.WriteHead w ->
                switch (store.put(
                                StoredConfiguration.HEAD_KEY, w.expectedRevision(), ConfigurationCodec.encode(w.head()))
                        .join()) {
                    case StoreReply.Written x -> new PublicationEvent.HeadWritten();
                    case StoreReply.Conflict c -> new PublicationEvent.HeadConflict();
                    case StoreReply.Failed f -> new PublicationEvent.CallFailed(f.mayHaveTakenEffect());
                    default -> new PublicationEvent.CallFailed(true);
                };
            case PublicationAction.Finish f -> throw new IllegalStateException("finished");
        };
    }

    /** A conflict means that the same content is there already, for its key is its hash. */
    private static PublicationEvent fileWritten(StoreClient store, PublicationAction.WriteFile w) {
        byte[] bytes = w.text().getBytes(StandardCharsets.UTF_8);
        StoreReply reply =
                store.put(StoredConfiguration.FILE_PREFIX + w.hash(), 0, bytes).join();
        boolean there = reply instanceof StoreReply.Written || reply instanceof StoreReply.Conflict;
        return there ? new PublicationEvent.FileWritten(w.hash()) : new PublicationEvent.CallFailed(false);
    }

    private static PublicationEvent headRead(StoreReply reply) {
        return switch (reply) {
            case StoreReply.Missing m -> new PublicationEvent.HeadRead(0, Head.EMPTY);
            case StoreReply.Value v -> {
                try {
                    yield new PublicationEvent.HeadRead(v.revision(), ConfigurationCodec.decodeHead(v.value()));
                } catch (InvalidProtocolBufferException e) {
                    yield new PublicationEvent.CallFailed(false);
                }
            }
            default -> new PublicationEvent.CallFailed(false);
        };
    }

    private static ExitCode report(String id, PublicationResult result) {
        return switch (result) {
            case PublicationResult.Published p -> {
                System.out.println("published version " + p.version() + " as " + id);
                yield ExitCode.DONE;
            }
            case PublicationResult.Unchanged u -> {
                System.out.println("unchanged: version " + u.version() + " holds the same files");
                yield ExitCode.DONE;
            }
            case PublicationResult.Conflict c -> {
                System.err.println("conflict: publication " + c.otherPublicationId() + " changed " + c.file()
                        + " meanwhile; nothing was changed");
                yield ExitCode.REFUSED;
            }
            case PublicationResult.Invalid i -> {
                Files.print(i.violations());
                System.err.println("not valid together with the files in force; nothing was changed");
                yield ExitCode.REFUSED;
            }
            case PublicationResult.Unreachable u -> {
                System.err.println("the platform's service does not answer; "
                        + (u.mayHaveTakenEffect()
                                ? "the files may be in force: publish again to make sure"
                                : "nothing was changed"));
                yield ExitCode.UNREACHABLE;
            }
        };
    }

    private static void pause(Duration d) {
        try {
            TimeUnit.NANOSECONDS.sleep(d.toNanos());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
