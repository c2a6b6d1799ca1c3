package org.citrontide.core.membership;

/**
 * Link address of the sidecar of an upstream, which identifies the upstream. Immutable.
 *
 * @param host IP address
 * @param port TCP port on which the sidecar accepts links
 */
public record UpstreamId(String host, int port) implements Comparable<UpstreamId> {
    @Override
    public int compareTo(UpstreamId other) {
        int byHost = host.compareTo(other.host);
        return byHost != 0 ? byHost : Integer.compare(port, other.port);
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
