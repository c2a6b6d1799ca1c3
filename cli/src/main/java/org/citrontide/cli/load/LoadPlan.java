package org.citrontide.cli.load;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;

/**
 * Parameters of a load. Immutable.
 *
 * @param label name of the row in the report
 * @param targets target addresses, used in rotation
 * @param method HTTP method
 * @param path path of the requests
 * @param body request body; {@code %n} is replaced by the number of the request
 * @param key idempotency key; {@code %n} is replaced by the number of the request
 * @param tokens tokens of teams, used in rotation; an empty string sends no token
 * @param urgency requested urgency class
 * @param timeoutSeconds value of {@code Request-Timeout}
 * @param ratePerSecond requests sent per second, independent of responses
 * @param seconds duration in seconds, without the warm-up
 * @param warmUpSeconds duration of the uncounted warm-up with the same load, in seconds
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

    /** Creates a plan with unmodifiable copies of the lists. */
    public LoadPlan {
        targets = List.copyOf(targets);
        tokens = List.copyOf(tokens);
    }
}
