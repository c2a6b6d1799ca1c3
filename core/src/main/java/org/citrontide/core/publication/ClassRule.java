package org.citrontide.core.publication;

import java.time.Duration;

/**
 * What one urgency class of a service is due. Immutable.
 *
 * @param target time within which an answer is of use; also the default deadline
 * @param guaranteedPercent share of an upstream that the class keeps while other classes flood, in percent
 */
public record ClassRule(Duration target, int guaranteedPercent) {}
