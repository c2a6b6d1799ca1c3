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
import org.citrontide.store.configuration.StoreConfigurationReader;
import org.citrontide.wire.codec.ConfigurationCodec;

/** The command {@code publish}: publishes service files to the platform's key-value service. */
final class PublishCommand implements Command {
    private static final String REMOVE_OPTION = "remove";

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
        return "Publishes the service files in a directory.";
    }

    @Override
    public Options options() {
        return StoreOptions.options()
                .addOption(null, REMOVE_OPTION, true, "name of a file to remove from the configuration in force");
    }

    @Override
    public ExitCode run(CommandLine line) throws IOException, UsageException {
        if (line.getArgList().size() != 1) {
            throw new UsageException("expected one directory");
        }
        Map<String, String> texts = InputFiles.readDirectory(line.getArgList().getFirst());
        ValidationResult<Configuration> checked = InputFiles.validate(texts);
        if (checked.value().isEmpty()) {
            InputFiles.printViolations(checked.violations());
            return ExitCode.REFUSED;
        }
        Map<String, Optional<String>> changes = new HashMap<>();
        texts.forEach((name, text) -> changes.put(name, Optional.of(text)));
        if (line.hasOption(REMOVE_OPTION)) {
            changes.put(line.getOptionValue(REMOVE_OPTION), Optional.empty());
        }
        String id = UUID.randomUUID().toString();
        return report(id, publish(StoreOptions.connect(line), new PublicationStateMachine(id, changes)));
    }

    private static PublicationResult publish(StoreClient store, PublicationStateMachine machine) {
        PublicationAction action = machine.start();
        while (true) {
            if (action instanceof PublicationAction.Finish f) {
                return f.result();
            }
            action = machine.handle(execute(store, action));
        }
    }

    private static PublicationEvent execute(StoreClient store, PublicationAction action) {
        return switch (action) {
            case PublicationAction.ReadHead r -> {
                sleep(r.delay());
                yield toHeadRead(store.get(StoreConfigurationReader.HEAD_KEY).join());
            }
            case PublicationAction.ReadFile r ->
                store.get(StoreConfigurationReader.FILE_PREFIX + r.hash()).join() instanceof StoreReply.Value v
                        ? new PublicationEvent.FileRead(r.hash(), new String(v.value(), StandardCharsets.UTF_8))
                        : new PublicationEvent.CallFailed(false);
            case PublicationAction.WriteFile w -> writeFile(store, w);
            case PublicationAction.WriteHead w ->
                switch (store.put(
                                StoreConfigurationReader.HEAD_KEY,
                                w.expectedRevision(),
                                ConfigurationCodec.encode(w.head()))
                        .join()) {
                    case StoreReply.Written x -> new PublicationEvent.HeadWritten();
                    case StoreReply.Conflict c -> new PublicationEvent.HeadConflict();
                    case StoreReply.Failed f -> new PublicationEvent.CallFailed(f.mayHaveTakenEffect());
                    default -> new PublicationEvent.CallFailed(true);
                };
            case PublicationAction.Finish f -> throw new IllegalStateException("publication has already finished");
        };
    }

    /**
     * Writes a file. A conflict means that the same content is already stored, because the key is the content's hash.
     */
    private static PublicationEvent writeFile(StoreClient store, PublicationAction.WriteFile w) {
        byte[] bytes = w.text().getBytes(StandardCharsets.UTF_8);
        StoreReply reply = store.put(StoreConfigurationReader.FILE_PREFIX + w.hash(), 0, bytes)
                .join();
        boolean isStored = reply instanceof StoreReply.Written || reply instanceof StoreReply.Conflict;
        return isStored ? new PublicationEvent.FileWritten(w.hash()) : new PublicationEvent.CallFailed(false);
    }

    private static PublicationEvent toHeadRead(StoreReply reply) {
        return switch (reply) {
            case StoreReply.NotFound m -> new PublicationEvent.HeadRead(0, Head.EMPTY);
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
                InputFiles.printViolations(i.violations());
                System.err.println("invalid together with the files in force; nothing was changed");
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

    private static void sleep(Duration d) {
        try {
            TimeUnit.NANOSECONDS.sleep(d.toNanos());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
