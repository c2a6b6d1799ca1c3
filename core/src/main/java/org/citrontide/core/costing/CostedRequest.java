package org.citrontide.core.costing;

/**
 * What is known about the cost of a request when it is placed. Immutable.
 *
 * @param service service that receives the request
 * @param route name of the route
 * @param team name of the caller's team, empty if the route needs no key
 * @param promptTokens number of prompt tokens, 0 if there is no prompt
 * @param completionTokens number of completion tokens that the caller announces, 0 if unknown
 */
public record CostedRequest(String service, String route, String team, int promptTokens, int completionTokens) {}
