package org.citrontide.core.admission;

import org.citrontide.core.publication.Urgency;

/**
 * Whose requests one admission level covers. Immutable.
 *
 * @param service name of the service
 * @param urgency class of the requests
 * @param team name of the team
 */
public record AdmissionKey(String service, Urgency urgency, String team) {}
