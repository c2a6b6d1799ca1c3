package org.citrontide.cli.load;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;

/**
 * What a load consists of. Immutable.
 *
 * @param label name of the row in the report
 * @param targets addresses, used in turn
 * @param method HTTP method
 * @param path path of the requests
 * @param body body, in which {@code %n} stands for the number of the request
 * @param key idempotency key, in which {@code %n} stands for the number of the request
 * @param tokens teams' tokens, used in turn; an empty one sends no token
 * @param urgency urgency class to ask for
 * @param timeoutSeconds value of {@code Request-Timeout}
 * @param ratePerSecond requests sent a second, whether or not answers come
 * @param seconds duration in s
 * @param warmUpSeconds time before in which the same load is sent and not counted, in s
 */
public record LoadPlan(
        String label,
        List<InetSocketAddress> targets,
        String method,
        String path,
        Optional<String> body,
        Optional<String> key,
        List<String> tokens,
        Optional<String> urgency,
        Optional<String> timeoutSeconds,
        int ratePerSecond,
        int seconds,
        int warmUpSeconds) {

    /** Copies the lists. */
    public LoadPlan {
        targets = List.copyOf(targets);
        tokens = List.copyOf(tokens);
    }
}
