package org.citrontide.runtime.settings;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.citrontide.core.toml.TomlSection;
import org.citrontide.core.toml.Violation;

/**
 * Settings common to all citrontide processes. Immutable.
 *
 * @param vm name of the VM
 * @param zone availability zone of the VM
 * @param linkAddress address on which links from other processes are accepted
 * @param adminAddress address on which health checks and metrics are served
 * @param linkKey secret key shared by all processes, authenticates links
 * @param stores addresses of the platform's key-value service, tried in order
 * @param seeds link addresses of peers in the same zone, dialled even while the platform is unavailable
 * @param drainNotice time that a graceful shutdown reports not ready before it stops accepting requests
 * @param drainLimit maximum time that a graceful shutdown waits for requests in flight
 */
public record ProcessSettings(
        String vm,
        String zone,
        InetSocketAddress linkAddress,
        InetSocketAddress adminAddress,
        String linkKey,
        List<InetSocketAddress> stores,
        List<InetSocketAddress> seeds,
        Duration drainNotice,
        Duration drainLimit) {
    private static final int MIN_KEY_LENGTH = 16;
    private static final int MAX_DRAIN_MS = 3_600_000;
    private static final int DEFAULT_DRAIN_NOTICE_MS = 3000;
    private static final int DEFAULT_DRAIN_LIMIT_MS = 120_000;

    /** Copies the lists, so that the record is immutable. */
    public ProcessSettings {
        stores = List.copyOf(stores);
        seeds = List.copyOf(seeds);
    }

    /**
     * Reads the settings from the root table of a file.
     *
     * @param root the root table, which collects the violations
     * @return the settings, valid only if no violation was reported
     */
    public static ProcessSettings read(TomlSection root) {
        String key = root.requireString("link_key");
        if (!key.isEmpty() && key.length() < MIN_KEY_LENGTH) {
            root.report(
                    "link_key",
                    Violation.Kind.OUT_OF_RANGE,
                    key.length() + " characters",
                    "at least " + MIN_KEY_LENGTH + " characters");
        }
        return new ProcessSettings(
                root.requireString("vm"),
                root.requireString("zone"),
                readAddress(root, "link_address"),
                readAddress(root, "admin_address"),
                key,
                readAddresses(root, "store_addresses"),
                readAddresses(root, "seed_links"),
                root.milliseconds("drain_notice_ms", 0, MAX_DRAIN_MS, DEFAULT_DRAIN_NOTICE_MS),
                root.milliseconds("drain_limit_ms", 0, MAX_DRAIN_MS, DEFAULT_DRAIN_LIMIT_MS));
    }

    /**
     * Reads a required address.
     *
     * @param s table of the settings file, which collects the violations
     * @param key key in the table
     * @return IP address and port, or a placeholder if a violation was reported
     */
    public static InetSocketAddress readAddress(TomlSection s, String key) {
        String text = s.requireString(key);
        return parseAddress(text).orElseGet(() -> {
            if (!text.isEmpty()) {
                reportAddress(s, key, text);
            }
            return InetSocketAddress.createUnresolved("0.0.0.0", 0);
        });
    }

    /**
     * Parses an IP address with a port.
     *
     * @param text IP address, colon and port; an IPv6 address is in brackets
     * @return the address, or empty if the text is malformed
     */
    public static Optional<InetSocketAddress> parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            return Optional.empty();
        }
        String host = text.substring(0, colon);
        boolean isIpAddress = host.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}") || host.matches("\\[[0-9a-fA-F:]+]");
        if (!isIpAddress || !text.substring(colon + 1).matches("[0-9]{1,5}")) {
            return Optional.empty();
        }
        int port = Integer.parseInt(text.substring(colon + 1));
        return port <= 65_535 ? Optional.of(new InetSocketAddress(host, port)) : Optional.empty();
    }

    /**
     * Reads an optional list of addresses. Malformed entries are reported and left out.
     *
     * @param s table of the settings file, which collects the violations
     * @param key key in the table
     * @return the well-formed addresses; empty if the key is absent
     */
    public static List<InetSocketAddress> readAddresses(TomlSection s, String key) {
        List<InetSocketAddress> list = new ArrayList<>();
        for (String text : s.strings(key)) {
            Optional<InetSocketAddress> a = parseAddress(text);
            if (a.isEmpty()) {
                reportAddress(s, key, text);
            }
            a.ifPresent(list::add);
        }
        return list;
    }

    private static void reportAddress(TomlSection s, String key, String text) {
        s.report(
                key,
                Violation.Kind.OUT_OF_RANGE,
                "\"" + text + "\"",
                "an IP address, a colon and a port, such as \"10.0.0.7:9400\"");
    }
}
