package org.citrontide.runtime.settings;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.citrontide.core.toml.TomlSection;
import org.citrontide.core.toml.Violation;

/**
 * The settings that every process of citrontide has. Immutable.
 *
 * @param vm name of the VM
 * @param zone availability zone of the VM
 * @param linkAddress where links from other processes are accepted
 * @param adminAddress where health and metrics are served
 * @param linkKey key shared by all processes
 * @param stores addresses of the platform's key-value service, tried in order
 * @param seeds links of peers in the own zone, dialled also while the platform is down
 * @param drainNotice time between the first sign of a stop and its second step
 * @param drainLimit longest time that a stop waits for running requests
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
    private static final int LEAST_KEY_LENGTH = 16;
    private static final int MAX_DRAIN_MS = 3_600_000;
    private static final int DEFAULT_NOTICE_MS = 3000;
    private static final int DEFAULT_LIMIT_MS = 120_000;

    /** Copies the lists. */
    public ProcessSettings {
        stores = List.copyOf(stores);
        seeds = List.copyOf(seeds);
    }

    /**
     * Reads the settings from the root table of a file.
     *
     * @param root the table; mistakes are reported there
     * @return the settings, of use only if there are no mistakes
     */
    public static ProcessSettings read(TomlSection root) {
        String key = root.requireString("link_key");
        if (!key.isEmpty() && key.length() < LEAST_KEY_LENGTH) {
            root.report(
                    "link_key",
                    Violation.Kind.OUT_OF_RANGE,
                    key.length() + " characters",
                    "at least " + LEAST_KEY_LENGTH + " characters");
        }
        return new ProcessSettings(
                root.requireString("vm"),
                root.requireString("zone"),
                address(root, "link_address"),
                address(root, "admin_address"),
                key,
                addresses(root, "store_addresses"),
                addresses(root, "seed_links"),
                root.milliseconds("drain_notice_ms", 0, MAX_DRAIN_MS, DEFAULT_NOTICE_MS),
                root.milliseconds("drain_limit_ms", 0, MAX_DRAIN_MS, DEFAULT_LIMIT_MS));
    }

    /**
     * Reads a required address.
     *
     * @param s table of the file
     * @param key key in the table
     * @return IP number and port, or a placeholder after a mistake
     */
    public static InetSocketAddress address(TomlSection s, String key) {
        String text = s.requireString(key);
        return parse(text).orElseGet(() -> {
            if (!text.isEmpty()) {
                reportAddress(s, key, text);
            }
            return InetSocketAddress.createUnresolved("0.0.0.0", 0);
        });
    }

    /**
     * Parses an address.
     *
     * @param text IP number, colon and port; IPv6 numbers in brackets
     * @return the address, or empty if the text is none
     */
    public static Optional<InetSocketAddress> parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            return Optional.empty();
        }
        String host = text.substring(0, colon);
        boolean isNumber = host.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}") || host.matches("\\[[0-9a-fA-F:]+]");
        if (!isNumber || !text.substring(colon + 1).matches("[0-9]{1,5}")) {
            return Optional.empty();
        }
        int port = Integer.parseInt(text.substring(colon + 1));
        return port <= 65_535 ? Optional.of(new InetSocketAddress(host, port)) : Optional.empty();
    }

    /**
     * Reads a list of addresses.
     *
     * @param s the table
     * @param key its key
     * @return the addresses, none if the key is absent
     */
    public static List<InetSocketAddress> addresses(TomlSection s, String key) {
        List<InetSocketAddress> list = new ArrayList<>();
        for (String text : s.strings(key)) {
            Optional<InetSocketAddress> a = parse(text);
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
                "an IP number, a colon and a port, such as \"10.0.0.7:9400\"");
    }
}
