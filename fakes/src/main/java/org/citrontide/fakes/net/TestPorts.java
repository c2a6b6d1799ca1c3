package org.citrontide.fakes.net;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Chooses ports for processes that bind them later.
 *
 * <p>Invariant: a port lies outside the range from which the system takes ports for outgoing connections, and is given
 * out once in a process. Safe for use by many threads.
 */
public final class TestPorts {
    private static final int FIRST = 10_000;
    // Linux takes outgoing ports from 32768 on.
    private static final int END = 32_000;
    private static final int TRIES = 200;
    private static final Set<Integer> GIVEN = new HashSet<>();

    private TestPorts() {}

    /**
     * Chooses a port on which nothing listens.
     *
     * @return TCP port
     * @throws IllegalStateException if no free port is found
     */
    public static synchronized int next() {
        for (int i = 0; i < TRIES; i++) {
            int port = ThreadLocalRandom.current().nextInt(FIRST, END);
            if (!GIVEN.contains(port) && isFree(port)) {
                GIVEN.add(port);
                return port;
            }
        }
        throw new IllegalStateException("no free port in " + TRIES + " tries");
    }

    private static boolean isFree(int port) {
        try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return s.getLocalPort() == port;
        } catch (IOException e) {
            return false;
        }
    }
}
