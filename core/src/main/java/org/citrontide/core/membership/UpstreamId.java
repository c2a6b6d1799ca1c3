package org.citrontide.core.membership;

/**
 * Where the sidecar of one upstream listens. Immutable.
 *
 * @param host IP number
 * @param port TCP port of the link
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
