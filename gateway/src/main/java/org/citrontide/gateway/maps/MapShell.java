package org.citrontide.gateway.maps;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import org.citrontide.core.expertmap.GroupMapController;
import org.citrontide.core.expertmap.MapAction;
import org.citrontide.core.expertmap.MapEvent;
import org.citrontide.core.expertmap.OrderOutcome;
import org.citrontide.core.routes.EngineProfile;
import org.citrontide.core.routes.ListedUpstream;
import org.citrontide.core.routes.RoutingTable;
import org.citrontide.core.routes.ServiceProfile;
import org.citrontide.gateway.store.PlatformClient;
import org.citrontide.gateway.store.PlatformResponse;
import org.citrontide.gateway.upstream.ReportReader;
import org.citrontide.platform.DecodeException;
import org.citrontide.platform.EngineCalls;
import org.citrontide.platform.PlatformCall;
import org.citrontide.runtime.log.EventLog;

/**
 * Runs the map controllers of this process: turns answers and timers into their events, and their actions into calls.
 *
 * <p>Invariant: a search for a map runs on a thread of its own, so that it holds up no request. Not thread-safe: owned
 * by the event loop.
 */
public final class MapShell {
    private static final EventLog LOG = EventLog.of(MapShell.class);
    // Several round trips between zones; an order without an answer is repeated.
    private static final Duration ORDER_TIMEOUT = Duration.ofMillis(70);
    private static final Duration READ_TIMEOUT = Duration.ofMillis(250);
    // Changes of places in one set; the limit of new experts ends most searches before.
    private static final int SEARCH_STEPS = 40;
    private static final int OK = 200;

    private final PlatformClient client;
    private final ReportReader reports;
    private final EventLoop loop;
    private final Executor planner = Executors.newSingleThreadExecutor(
            r -> Thread.ofPlatform().daemon().name("map-planner").unstarted(r));
    private final Map<String, GroupMapController> controllers = new HashMap<>();
    private final Map<String, EngineProfile> profiles = new HashMap<>();
    private Map<String, ListedUpstream> upstreams = Map.of();
    private final Runnable leaseCheck;
    private Optional<Long> term = Optional.empty();

    /**
     * Makes a shell without controllers.
     *
     * @param client client for the calls to the upstreams
     * @param loop event loop
     * @param leaseCheck calls {@link #deposed} if the lease is over; run before each event, since a process may have
     *     been suspended just before it
     */
    public MapShell(PlatformClient client, EventLoop loop, Runnable leaseCheck) {
        this.client = client;
        this.reports = new ReportReader(client);
        this.loop = loop;
        this.leaseCheck = leaseCheck;
    }

    /**
     * Makes a controller for each service whose engines form groups.
     *
     * @param table the configuration in force
     */
    public void configured(RoutingTable table) {
        for (ServiceProfile s : table.services().values()) {
            s.engine().filter(e -> e.expertSets() > 0).ifPresent(e -> control(s.name(), e));
        }
        controllers.keySet().forEach(s -> handle(s, new MapEvent.TargetGapChanged(table.targetGap(s))));
    }

    /**
     * Takes the list of upstreams.
     *
     * @param list all that are believed to be there
     */
    public void listed(List<ListedUpstream> list) {
        Map<String, ListedUpstream> byId = new HashMap<>();
        list.forEach(u -> byId.put(u.id(), u));
        upstreams = byId;
        controllers.keySet().forEach(this::tellMembers);
    }

    /**
     * Begins a term.
     *
     * @param number number of the term
     */
    public void elected(long number) {
        term = Optional.of(number);
        controllers.keySet().forEach(s -> handle(s, new MapEvent.Elected(number)));
    }

    /** Ends the term. */
    public void deposed() {
        term = Optional.empty();
        controllers.keySet().forEach(s -> handle(s, new MapEvent.Deposed()));
    }

    /** Lets time pass. */
    public void tick() {
        controllers.keySet().forEach(s -> handle(s, new MapEvent.Tick()));
    }

    /**
     * Says whether a change is under way that may hold a group.
     *
     * @return true if the process should not end now
     */
    public boolean isHolding() {
        return controllers.values().stream().anyMatch(GroupMapController::isHolding);
    }

    private void control(String service, EngineProfile profile) {
        if (profile.equals(profiles.put(service, profile))) {
            return;
        }
        controllers.put(service, new GroupMapController(profile));
        term.ifPresent(t -> handle(service, new MapEvent.Elected(t)));
        tellMembers(service);
    }

    private void tellMembers(String service) {
        List<String> ids = new ArrayList<>();
        upstreams.values().stream()
                .filter(u -> u.service().equals(service))
                .map(ListedUpstream::id)
                .sorted()
                .forEach(ids::add);
        handle(service, new MapEvent.MembersChanged(ids));
    }

    private void handle(String service, MapEvent event) {
        leaseCheck.run();
        for (MapAction action : controllers.get(service).handle(event, System.nanoTime())) {
            switch (action) {
                case MapAction.ReadReport r -> readReport(service, r.upstream());
                case MapAction.ReadCounts r -> readCounts(service, r.upstream());
                case MapAction.ReadExperts r -> readExperts(service, r.upstream());
                case MapAction.SendOrder s -> send(service, s);
                case MapAction.SearchMap p -> plan(service, p);
                case MapAction.LogEvent n ->
                    LOG.info(n.event())
                            .with("service", service)
                            .with("detail", n.detail())
                            .write();
            }
        }
    }

    private void readReport(String service, String id) {
        ListedUpstream u = upstreams.get(id);
        if (u == null) {
            loop.execute(() -> handle(service, new MapEvent.ReportRead(id, Optional.empty())));
            return;
        }
        reports.read(u, report -> handle(service, new MapEvent.ReportRead(id, report)));
    }

    private void readCounts(String service, String id) {
        call(id, EngineCalls.readCounts(), READ_TIMEOUT, reply -> {
            Optional<MapEvent.ExpertCounts> counts = Optional.empty();
            if (reply.isPresent() && reply.get().status() == OK) {
                try {
                    counts = Optional.of(EngineCalls.counts(reply.get().body()));
                } catch (DecodeException e) {
                    unreadable(id, e);
                }
            }
            handle(service, new MapEvent.CountsRead(id, counts));
        });
    }

    private void readExperts(String service, String id) {
        call(id, EngineCalls.readExperts(), READ_TIMEOUT, reply -> {
            MapEvent.ExpertsRead listed = new MapEvent.ExpertsRead(id, 0, Optional.empty());
            if (reply.isPresent() && reply.get().status() == OK) {
                try {
                    listed = EngineCalls.experts(id, reply.get().body());
                } catch (DecodeException e) {
                    unreadable(id, e);
                }
            }
            handle(service, listed);
        });
    }

    private void send(String service, MapAction.SendOrder s) {
        call(s.upstream(), EngineCalls.order(s.order(), s.epoch()), ORDER_TIMEOUT, reply -> {
            OrderOutcome r = reply.map(x -> EngineCalls.reply(x.status())).orElse(OrderOutcome.UNANSWERED);
            handle(service, new MapEvent.OrderEnded(s.upstream(), s.order(), r));
        });
    }

    private void plan(String service, MapAction.SearchMap p) {
        CompletableFuture.supplyAsync(() -> p.search(SEARCH_STEPS), planner).whenComplete((map, failure) -> {
            if (failure != null) {
                LOG.error("map-search-failed", failure).write();
                return;
            }
            loop.execute(() -> handle(service, new MapEvent.SearchEnded(map)));
        });
    }

    private void call(String id, PlatformCall call, Duration timeout, Consumer<Optional<PlatformResponse>> then) {
        ListedUpstream u = upstreams.get(id);
        if (u == null) {
            loop.execute(() -> then.accept(Optional.empty()));
            return;
        }
        client.call(new InetSocketAddress(u.host(), u.port()), call.onlyFor(id), timeout)
                .whenComplete((reply, failure) -> then.accept(Optional.ofNullable(reply)));
    }

    private static void unreadable(String id, DecodeException e) {
        LOG.warn("engine-answer-unreadable")
                .with("upstream", id)
                .with("why", e.getMessage())
                .write();
    }
}
