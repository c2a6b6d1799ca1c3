package org.citrontide.core.admission;

import org.citrontide.core.publication.Urgency;

/**
 * The key of an admission level: the requests of one team to one service in one urgency class. Immutable.
 *
 * @param service name of the service
 * @param urgency class of the requests
 * @param team name of the team
 */
public record AdmissionKey(String service, Urgency urgency, String team) {}
