package org.citrontide.core.costing;

import java.util.LinkedHashMap;

/**
 * What the requests of each service, route and team have cost.
 *
 * <p>Handles routes of one service, and teams of one route, whose costs differ. The state is bounded: the least
 * recently used distributions are dropped. Not thread-safe.
 */
final class CostModel {
    // More than the routes and teams of a deployment; a distribution takes 2.5 KB, so that all take 1.3 MB.
    private static final int MAX_DISTRIBUTIONS = 512;
    // Below this the mean of a heavy-tailed distribution is off by more than the difference between routes.
    private static final int MIN_SAMPLES = 20;
    // Smaller differences between the mean of a team and that of its route come from the spread of the samples.
    private static final double MIN_DIFFERENCE = 0.25;

    /** A service, one of its routes, or one team on a route; the other parts are empty. */
    private record Key(String service, String route, String team) {}

    // In the order of access, the least recently used first.
    private final LinkedHashMap<Key, CostDistribution> byKey = new LinkedHashMap<>(16, 0.75F, true);
    private final CostDistribution initial;

    /** Creates a model that expects the given cost where it has no samples. */
    CostModel(double initialCost) {
        initial = new CostDistribution();
        initial.record(initialCost, 0);
    }

    /** Returns the distribution that describes a request best. */
    CostDistribution find(CostedRequest request) {
        CostDistribution route = byKey.get(new Key(request.service(), request.route(), ""));
        if (!isKnown(route)) {
            CostDistribution service = byKey.get(new Key(request.service(), "", ""));
            return isKnown(service) ? service : initial;
        }
        CostDistribution team = request.team().isEmpty() ? null : byKey.get(teamKey(request));
        boolean differs = isKnown(team) && Math.abs(team.mean() - route.mean()) > MIN_DIFFERENCE * route.mean();
        return differs ? team : route;
    }

    /** Records what a request has cost. */
    void record(CostedRequest request, double cost, long nowNanos) {
        add(new Key(request.service(), "", ""), cost, nowNanos);
        add(new Key(request.service(), request.route(), ""), cost, nowNanos);
        if (!request.team().isEmpty()) {
            add(teamKey(request), cost, nowNanos);
        }
    }

    /** Returns the distribution that is used without samples. */
    CostDistribution initial() {
        return initial;
    }

    int size() {
        return byKey.size();
    }

    private void add(Key key, double cost, long nowNanos) {
        byKey.computeIfAbsent(key, k -> new CostDistribution()).record(cost, nowNanos);
        if (byKey.size() > MAX_DISTRIBUTIONS) {
            byKey.pollFirstEntry();
        }
    }

    private static Key teamKey(CostedRequest request) {
        return new Key(request.service(), request.route(), request.team());
    }

    private static boolean isKnown(CostDistribution distribution) {
        return distribution != null && distribution.samples() >= MIN_SAMPLES;
    }
}
