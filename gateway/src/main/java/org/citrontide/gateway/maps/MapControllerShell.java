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
import org.citrontide.core.expertmap.ControlCosts;
import org.citrontide.core.expertmap.MapAction;
import org.citrontide.core.expertmap.MapEvent;
import org.citrontide.core.expertmap.OrderOutcome;
import org.citrontide.core.expertmap.OrderTimeouts;
import org.citrontide.core.expertmap.RankOrder;
import org.citrontide.core.expertmap.ServiceMapController;
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
 * Runs the map controllers of this process: converts responses and timers into events, and carries out the actions.
 *
 * <p>Invariant: a search for a map runs on a separate thread, so that it delays no request. Not thread-safe: confined
 * to the event loop.
 */
public final class MapControllerShell {
    private static final EventLog LOG = EventLog.of(MapControllerShell.class);
    private static final Duration READ_TIMEOUT = Duration.ofMillis(250);
    // Maximum number of placement changes per set; most searches end earlier, at the limit on new experts.
    private static final int MAX_SEARCH_STEPS = 40;
    private static final int OK = 200;

    /** Names a group of a service, as the target of results. */
    private record GroupKey(String service, String group) {}

    private final PlatformClient client;
    private final ReportReader reports;
    private final EventLoop loop;
    private final Executor searchExecutor = Executors.newSingleThreadExecutor(
            r -> Thread.ofPlatform().daemon().name("map-planner").unstarted(r));
    private final Map<String, ServiceMapController> controllers = new HashMap<>();
    private final Map<String, EngineProfile> profiles = new HashMap<>();
    private Map<String, ListedUpstream> upstreams = Map.of();
    private final Runnable leaseCheck;
    private final OrderTimeouts orderTimeouts;
    private final ControlCosts controlCosts;
    private Optional<Long> term = Optional.empty();

    /**
     * Creates a shell without controllers.
     *
     * @param client client for the calls to the upstreams
     * @param loop event loop that runs the controllers
     * @param leaseCheck calls {@link #deposed} if the lease is no longer valid; run before each event, because the
     *     process may have been suspended just before it
     * @param orderTimeouts determines how long a response to an order is awaited
     * @param controlCosts prices of reads, orders and copies
     */
    public MapControllerShell(
            PlatformClient client,
            EventLoop loop,
            Runnable leaseCheck,
            OrderTimeouts orderTimeouts,
            ControlCosts controlCosts) {
        this.client = client;
        this.reports = new ReportReader(client);
        this.loop = loop;
        this.leaseCheck = leaseCheck;
        this.orderTimeouts = orderTimeouts;
        this.controlCosts = controlCosts;
    }

    /**
     * Handles a new configuration: creates a controller for each service whose engines form groups, or tells the one
     * that it has of another engine profile.
     *
     * @param table the configuration in force
     */
    public void updateConfiguration(RoutingTable table) {
        for (ServiceProfile s : table.services().values()) {
            s.engine().filter(e -> e.expertSets() > 0).ifPresent(e -> ensureController(s.name(), e));
        }
        controllers.keySet().forEach(s -> handle(s, new MapEvent.TargetGapChanged(table.targetGap(s))));
    }

    /**
     * Handles a new list of upstreams.
     *
     * @param list all upstreams considered available
     */
    public void updateUpstreams(List<ListedUpstream> list) {
        Map<String, ListedUpstream> byId = new HashMap<>();
        list.forEach(u -> byId.put(u.id(), u));
        upstreams = byId;
        controllers.keySet().forEach(this::updateMembers);
    }

    /**
     * Starts a term: from now on, the controllers may change maps. Before a controller starts a change, it finishes one
     * that it finds holding its group: another controller's or an earlier one of its own.
     *
     * @param number number of the term
     */
    public void elected(long number) {
        term = Optional.of(number);
        controllers.keySet().forEach(s -> handle(s, new MapEvent.Elected(number)));
    }

    /**
     * Ends the term: the controllers start no further change. They still finish a change that holds a group, another
     * controller's or their own; an unanswered hold order is left to the next controller.
     */
    public void deposed() {
        term = Optional.empty();
        controllers.keySet().forEach(s -> handle(s, new MapEvent.Deposed()));
    }

    /** Passes a tick of the periodic timer to all controllers. */
    public void tick() {
        controllers.keySet().forEach(s -> handle(s, new MapEvent.Tick()));
    }

    /**
     * Returns whether a change in progress holds a group or may hold it.
     *
     * @return true if the process should not exit yet
     */
    public boolean isHolding() {
        return controllers.values().stream().anyMatch(ServiceMapController::isHolding);
    }

    /**
     * Returns the groups of the upstreams.
     *
     * @return identities of the members by the name of the group, by the name of the service
     */
    public Map<String, Map<String, List<String>>> groups() {
        Map<String, Map<String, List<String>>> groups = new HashMap<>();
        controllers.forEach((service, c) -> groups.put(service, c.groups()));
        return groups;
    }

    private void ensureController(String service, EngineProfile profile) {
        if (profile.equals(profiles.put(service, profile))) {
            return;
        }
        if (controllers.containsKey(service)) {
            handle(service, new MapEvent.ProfileChanged(profile));
            return;
        }
        controllers.put(service, new ServiceMapController(profile, controlCosts));
        term.ifPresent(t -> handle(service, new MapEvent.Elected(t)));
        updateMembers(service);
    }

    private void updateMembers(String service) {
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
        perform(service, controllers.get(service).handle(event, System.nanoTime()));
    }

    private void handleResult(GroupKey key, MapEvent event) {
        leaseCheck.run();
        perform(key.service(), controllers.get(key.service()).handleResult(key.group(), event, System.nanoTime()));
    }

    private void perform(String service, List<ServiceMapController.GroupAction> actions) {
        for (ServiceMapController.GroupAction action : actions) {
            GroupKey key = new GroupKey(service, action.group());
            switch (action.action()) {
                case MapAction.ReadReport r -> readReport(key, r.upstream());
                case MapAction.ReadCounts r -> readCounts(key, r.upstream());
                case MapAction.ReadExperts r ->
                    readExperts(
                            key,
                            r.upstream(),
                            new MapEvent.ExpertsRead(r.upstream(), 0, Optional.empty()),
                            EngineCalls::decodeExperts);
                case MapAction.ReadPreparedExperts r ->
                    readExperts(
                            key,
                            r.upstream(),
                            new MapEvent.PreparedExpertsRead(r.upstream(), 0, Optional.empty()),
                            EngineCalls::decodePreparedExperts);
                case MapAction.SendOrder s -> sendOrder(key, s);
                case MapAction.SearchMap p -> searchMap(key, p);
                case MapAction.LogEvent n ->
                    LOG.info(n.event())
                            .with("service", service)
                            .with("group", key.group())
                            .with("detail", n.detail())
                            .write();
            }
        }
    }

    private void readReport(GroupKey key, String id) {
        ListedUpstream u = upstreams.get(id);
        if (u == null) {
            loop.execute(() -> handleResult(key, new MapEvent.ReportRead(id, Optional.empty())));
            return;
        }
        reports.read(u, report -> handleResult(key, new MapEvent.ReportRead(id, report)));
    }

    private void readCounts(GroupKey key, String id) {
        callUpstream(client::call, id, EngineCalls.readCounts(), READ_TIMEOUT, response -> {
            Optional<MapEvent.ExpertCounts> counts = Optional.empty();
            if (response.isPresent() && response.get().status() == OK) {
                try {
                    counts = Optional.of(EngineCalls.decodeCounts(response.get().body()));
                } catch (DecodeException e) {
                    logUnreadable(id, e);
                }
            }
            handleResult(key, new MapEvent.CountsRead(id, counts));
        });
    }

    private void readExperts(GroupKey key, String id, MapEvent failure, ExpertsDecoder decoder) {
        callUpstream(client::call, id, EngineCalls.readExperts(), READ_TIMEOUT, response -> {
            MapEvent experts = failure;
            if (response.isPresent() && response.get().status() == OK) {
                try {
                    experts = decoder.decode(id, response.get().body());
                } catch (DecodeException e) {
                    logUnreadable(id, e);
                }
            }
            handleResult(key, experts);
        });
    }

    private void sendOrder(GroupKey key, MapAction.SendOrder s) {
        PlatformCall call = EngineCalls.sendOrder(s.order(), s.epoch());
        int bytes = call.body().length;
        // A change relies on each confirmation that a rank holds a pass or is armed, and confirmations name no order.
        boolean needsOwnConnection = s.order() instanceof RankOrder.Hold || s.order() instanceof RankOrder.Arm;
        UpstreamCall send = needsOwnConnection ? client::callOnNewConnection : client::call;
        callUpstream(send, s.upstream(), call, orderTimeouts.start(bytes), response -> {
            orderTimeouts.end(bytes);
            OrderOutcome outcome =
                    response.map(x -> EngineCalls.orderOutcome(x.status())).orElse(OrderOutcome.UNANSWERED);
            handleResult(key, new MapEvent.OrderEnded(s.upstream(), s.order(), outcome));
        });
    }

    private void searchMap(GroupKey key, MapAction.SearchMap p) {
        CompletableFuture.supplyAsync(() -> p.search(MAX_SEARCH_STEPS), searchExecutor)
                .whenComplete((map, failure) -> {
                    if (failure != null) {
                        LOG.error("map-search-failed", failure).write();
                        return;
                    }
                    loop.execute(() -> handleResult(key, new MapEvent.SearchEnded(map)));
                });
    }

    private void callUpstream(
            UpstreamCall send,
            String id,
            PlatformCall call,
            Duration timeout,
            Consumer<Optional<PlatformResponse>> handler) {
        ListedUpstream u = upstreams.get(id);
        if (u == null) {
            loop.execute(() -> handler.accept(Optional.empty()));
            return;
        }
        send.send(new InetSocketAddress(u.host(), u.port()), call.withExpectedUpstream(id), timeout)
                .whenComplete((response, failure) -> handler.accept(Optional.ofNullable(response)));
    }

    /** Decodes one of the maps that a response names. */
    @FunctionalInterface
    private interface ExpertsDecoder {
        MapEvent decode(String upstream, byte[] body) throws DecodeException;
    }

    /** A way to send a call. */
    @FunctionalInterface
    private interface UpstreamCall {
        CompletableFuture<PlatformResponse> send(InetSocketAddress address, PlatformCall call, Duration timeout);
    }

    private static void logUnreadable(String id, DecodeException e) {
        LOG.warn("engine-answer-unreadable")
                .with("upstream", id)
                .with("why", e.getMessage())
                .write();
    }
}
