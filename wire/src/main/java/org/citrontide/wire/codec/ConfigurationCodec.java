package org.citrontide.wire.codec;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.google.protobuf.InvalidProtocolBufferException;
import org.citrontide.core.publication.Configuration;
import org.citrontide.core.publication.ConfigurationSyncEvent;
import org.citrontide.core.publication.Head;
import org.citrontide.wire.generated.ConfigurationBundle;
import org.citrontide.wire.generated.ConfigurationFile;
import org.citrontide.wire.generated.ConfigurationHead;
import org.citrontide.wire.generated.HeadEntry;
import org.citrontide.wire.generated.PublicationRecord;

/** Encodes and decodes configuration heads and configuration bundles. Stateless and thread-safe. */
public final class ConfigurationCodec {
    private ConfigurationCodec() {}

    /**
     * Encodes a head for storage in the platform's key-value service.
     *
     * @param head the head to encode
     * @return the encoded value
     */
    public static byte[] encode(Head head) {
        ConfigurationHead.Builder b = ConfigurationHead.newBuilder().setVersion(head.version());
        head.files()
                .forEach((name, f) -> b.addEntries(HeadEntry.newBuilder()
                        .setName(name)
                        .setVersion(f.version())
                        .setHash(f.hash())
                        .setPublicationId(f.publicationId())));
        head.publications()
                .forEach(p -> b.addPublications(
                        PublicationRecord.newBuilder().setId(p.id()).setVersion(p.version())));
        return b.build().toByteArray();
    }

    /**
     * Decodes a head.
     *
     * @param value the encoded value
     * @return the head
     * @throws InvalidProtocolBufferException if the value is not an encoded head
     */
    public static Head decodeHead(byte[] value) throws InvalidProtocolBufferException {
        ConfigurationHead h = ConfigurationHead.parseFrom(value);
        Map<String, Head.HeadFile> files = new HashMap<>();
        for (HeadEntry e : h.getEntriesList()) {
            files.put(e.getName(), new Head.HeadFile(e.getVersion(), e.getHash(), e.getPublicationId()));
        }
        List<Head.Publication> publications = new ArrayList<>();
        for (PublicationRecord p : h.getPublicationsList()) {
            publications.add(new Head.Publication(p.getId(), p.getVersion()));
        }
        return new Head(h.getVersion(), files, publications);
    }

    /**
     * Builds the response to a peer's configuration request.
     *
     * @param configuration configuration in force in this process
     * @param haveVersion version that the peer has
     * @return the version of every file, and the content of the files that are newer than {@code haveVersion}
     */
    public static ConfigurationBundle encodeBundle(Configuration configuration, long haveVersion) {
        ConfigurationBundle.Builder b = ConfigurationBundle.newBuilder().setVersion(configuration.version());
        configuration.files().forEach((name, f) -> {
            ConfigurationFile.Builder file =
                    ConfigurationFile.newBuilder().setName(name).setVersion(f.version());
            if (f.version() > haveVersion) {
                file.setContent(f.text());
            }
            b.addFiles(file);
        });
        return b.build();
    }

    /**
     * Converts a peer's configuration bundle to an event.
     *
     * @param peer identifier of the link to the peer
     * @param bundle the received bundle
     * @return the event for the configuration sync controller
     */
    public static ConfigurationSyncEvent.PeerFiles decodeBundle(long peer, ConfigurationBundle bundle) {
        Map<String, Long> versions = new HashMap<>();
        Map<String, String> texts = new HashMap<>();
        for (ConfigurationFile f : bundle.getFilesList()) {
            versions.put(f.getName(), f.getVersion());
            if (f.hasContent()) {
                texts.put(f.getName(), f.getContent());
            }
        }
        return new ConfigurationSyncEvent.PeerFiles(peer, bundle.getVersion(), versions, texts);
    }
}
