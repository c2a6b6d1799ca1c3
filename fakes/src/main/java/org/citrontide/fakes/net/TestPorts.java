package org.citrontide.fakes.net;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Allocates TCP ports for processes that bind them later.
 *
 * <p>Invariant: a port lies outside the range from which the system takes ephemeral ports, and is allocated at most
 * once per process. Thread-safe.
 */
public final class TestPorts {
    private static final int MIN_PORT = 10_000;
    // Linux allocates ephemeral ports from 32768 by default.
    private static final int END_PORT = 32_000;
    private static final int MAX_ATTEMPTS = 200;
    private static final Set<Integer> ALLOCATED = new HashSet<>();

    private TestPorts() {}

    /**
     * Allocates a port on which no process listens.
     *
     * @return the port
     * @throws IllegalStateException if no free port is found
     */
    public static synchronized int allocate() {
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            int port = ThreadLocalRandom.current().nextInt(MIN_PORT, END_PORT);
            if (!ALLOCATED.contains(port) && isFree(port)) {
                ALLOCATED.add(port);
                return port;
            }
        }
        throw new IllegalStateException("found no free port in " + MAX_ATTEMPTS + " attempts");
    }

    private static boolean isFree(int port) {
        try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return s.getLocalPort() == port;
        } catch (IOException e) {
            return false;
        }
    }
}
