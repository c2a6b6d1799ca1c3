package org.citrontide.core.publication;

import java.time.Duration;

/**
 * The guarantees of an urgency class of a service. Immutable.
 *
 * @param target target latency of a response; also the default deadline
 * @param guaranteedPercent minimum share of an upstream that the class keeps under load of other classes, in percent
 */
public record ClassRule(Duration target, int guaranteedPercent) {}
