package org.citrontide.core.routes;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Checks the selection of routes and services. */
final class RoutingTableTest {
    private final RoutingTable table = new RoutingTable(
            7,
            List.of(route("short", "/a/"), route("long", "/a/b/")),
            Map.of(),
            CallerLimits.INITIAL,
            Optional.of(Map.of("k1", new Team("rangers", Optional.empty()))));

    @Test
    void theRouteWithTheLongestMatchingPrefixIsSelected() {
        assertEquals("long", name("/a/b/c?x=/a/"));
        assertEquals("short", name("/a/bc"));
    }

    @Test
    void aPathWithoutAMatchingPrefixOrOnAnotherHostHasNoRoute() {
        assertTrue(table.find("h.example", "/a").isEmpty());
        assertTrue(table.find("h.example", "/b/?/a/").isEmpty());
        assertTrue(table.find("other.example", "/a/").isEmpty());
    }

    @Test
    void theHostMatchesWithoutItsPortAndCase() {
        assertTrue(table.find("H.Example:80", "/a/").isPresent());
    }

    @Test
    void splitsAreSelectedInProportionToTheirWeights() {
        Route r = new Route(
                "r",
                "h",
                "/",
                List.of(new Route.Split("x", 90), new Route.Split("y", 10), new Route.Split("z", 0)),
                Route.RetrySafety.AT_MOST_ONCE,
                false,
                Duration.ofSeconds(1),
                Duration.ofSeconds(1),
                Duration.ZERO,
                1,
                0,
                false);
        assertEquals("x", r.service(0));
        assertEquals("x", r.service(0.899));
        assertEquals("y", r.service(0.9));
        assertEquals("y", r.service(0.9999));
    }

    @Test
    void anUnknownKeyBelongsToNoTeam() {
        assertEquals("rangers", table.team("k1").orElseThrow().name());
        assertTrue(table.team("k2").isEmpty());
    }

    @Test
    void aPrefixWithoutATrailingSlashIsInvalid() {
        assertThrows(IllegalArgumentException.class, () -> route("bad", "/a"));
    }

    private String name(String target) {
        return table.find("h.example", target).orElseThrow().name();
    }

    private static Route route(String name, String prefix) {
        return new Route(
                name,
                "h.example",
                prefix,
                List.of(new Route.Split("s", 1)),
                Route.RetrySafety.IDEMPOTENT,
                false,
                Duration.ofSeconds(4),
                Duration.ofMillis(300),
                Duration.ZERO,
                2,
                0,
                false);
    }
}
