package org.citrontide.gateway.daemon;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import io.netty.channel.EventLoop;
import org.citrontide.core.expertmap.OrderTimeouts;
import org.citrontide.core.gateway.GatewayRoster;
import org.citrontide.core.gateway.RetrySlackShare;
import org.citrontide.core.gateway.SendSlots;
import org.citrontide.core.lease.CandidacyDelay;
import org.citrontide.core.routes.ListedUpstream;
import org.citrontide.core.routes.RoutingTable;
import org.citrontide.core.warmup.TurnOrder;
import org.citrontide.gateway.dispatch.GatewayShell;
import org.citrontide.gateway.maps.MapControllerShell;
import org.citrontide.gateway.store.CrashEvidenceStore;
import org.citrontide.gateway.store.GatewayRegistration;
import org.citrontide.gateway.store.GroupStore;
import org.citrontide.gateway.store.LeaderElection;
import org.citrontide.gateway.store.PlatformClient;
import org.citrontide.gateway.store.StoreListener;
import org.citrontide.gateway.store.StoreMirror;
import org.citrontide.platform.DecodeException;
import org.citrontide.platform.MetadataStore;
import org.citrontide.runtime.eventloop.GuardedTask;

/**
 * Control plane of one gateway: mirrors the store, takes part in the leader election, and changes expert maps while
 * this process is the leader.
 *
 * <p>Not thread-safe: confined to the event loop, except for {@link #isHolding}.
 */
final class ControlPlane implements StoreListener, LeaderElection.Listener {
    // Each step of a map change waits for a tick, which delays the faster passes under the new map.
    private static final Duration LEADER_TICK = Duration.ofMillis(20);
    private static final Duration FOLLOWER_TICK = Duration.ofMillis(250);
    private static final Duration ROSTER_INTERVAL = Duration.ofSeconds(1);

    private final EventLoop loop;
    private final GatewayShell shell;
    private final StoreMirror mirror;
    private final LeaderElection leaderElection;
    private final GatewayRegistration registration;
    private final MapControllerShell mapControllers;
    private final RetrySlackShare slackShare;
    private final CrashEvidenceStore crashEvidence;
    private final GroupStore groups;
    private final GatewayRoster roster;
    private final long startNanos = System.nanoTime();
    private final int knownPeers;
    private List<String> registeredVms = List.of();
    private long rosterUpdateNanos;
    private boolean isLeader;
    private boolean isStopping;
    private boolean hasResigned;
    private volatile boolean isHolding;

    ControlPlane(
            GatewaySettings settings,
            EventLoop loop,
            RandomGenerator random,
            GatewayShell shell,
            RetrySlackShare slackShare) {
        this.slackShare = slackShare;
        this.roster = new GatewayRoster(settings.vm());
        this.knownPeers = settings.peers().size();
        this.loop = loop;
        this.shell = shell;
        PlatformClient client = PlatformClient.forStore(loop);
        this.mirror = new StoreMirror(
                client,
                settings.storeAddress(),
                settings.peers(),
                settings.locality().shortestLimit(settings.changeLimit()),
                loop,
                random,
                this);
        this.crashEvidence = new CrashEvidenceStore(
                client,
                settings.storeAddress(),
                settings.peers(),
                loop,
                settings.vm(),
                shell.updates()::updateCrashEvidence);
        shell.setCrashEvidence(crashEvidence);
        this.groups = new GroupStore(client, settings.storeAddress());
        CandidacyDelay candidacyDelay = new CandidacyDelay(settings.linkMegabitsPerSecond(), random);
        this.leaderElection =
                new LeaderElection(client, settings.storeAddress(), loop, candidacyDelay, settings.vm(), this);
        this.registration = new GatewayRegistration(client, settings.storeAddress(), loop, random, settings.vm());
        this.mapControllers = new MapControllerShell(
                PlatformClient.forEngines(loop),
                loop,
                leaderElection::checkLease,
                new OrderTimeouts(settings.linkMegabitsPerSecond()),
                settings.controlCosts());
    }

    void start() {
        mirror.start();
        registration.start();
        tick();
    }

    /** Resigns as the leader as soon as no map change holds a group. */
    void stop() {
        isStopping = true;
        resignIfPossible();
    }

    Optional<byte[]> storePage() {
        return mirror.page();
    }

    void receiveCrashEvidence(byte[] page) throws DecodeException {
        crashEvidence.receive(page);
    }

    boolean isLoaded() {
        return mirror.isLoaded();
    }

    boolean isHolding() {
        return isHolding;
    }

    @Override
    public void configurationChanged(RoutingTable table) {
        shell.setRoutingTable(table);
        mapControllers.updateConfiguration(table);
    }

    @Override
    public void upstreamsUpdated(List<ListedUpstream> upstreams) {
        shell.updateUpstreams(upstreams);
        mapControllers.updateUpstreams(upstreams);
    }

    @Override
    public void leaderKeyUpdated(boolean isHeld) {
        leaderElection.handleEra(mirror.storeEra());
        leaderElection.handleLeaderKey(isHeld);
    }

    @Override
    public void gatewaysUpdated(List<String> vms) {
        registeredVms = List.copyOf(vms);
        updateRoster();
    }

    @Override
    public void crashEvidenceUpdated(List<MetadataStore.Item> items) {
        crashEvidence.updateShared(items);
    }

    @Override
    public void groupsUpdated(List<MetadataStore.Item> items) {
        groups.updateShared(items);
        shell.updates().updateGroups(groups.groupByUpstream());
    }

    @Override
    public void evacuationsUpdated(Set<String> zones) {
        shell.updates().updateEvacuatedZones(zones);
    }

    @Override
    public void elected(long term) {
        isLeader = true;
        mapControllers.elected(term);
    }

    @Override
    public void deposed() {
        isLeader = false;
        mapControllers.deposed();
    }

    private void tick() {
        new GuardedTask("control-tick", this::runDueTasks).run();
        Duration pause = isLeader || isHolding ? LEADER_TICK : FOLLOWER_TICK;
        loop.schedule(this::tick, pause.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void runDueTasks() {
        leaderElection.checkLease();
        mapControllers.tick();
        isHolding = mapControllers.isHolding();
        if (isLeader) {
            mapControllers.groups().forEach(groups::publish);
        }
        if (!registeredVms.isEmpty() && System.nanoTime() - rosterUpdateNanos > ROSTER_INTERVAL.toNanos()) {
            updateRoster();
        }
        resignIfPossible();
    }

    /** Recomputes what depends on the other gateways, also as registrations age and the wall clock is adjusted. */
    private void updateRoster() {
        long nowNanos = System.nanoTime();
        rosterUpdateNanos = nowNanos;
        roster.update(registeredVms, nowNanos);
        slackShare.setGatewayCount(roster.count());
        long unixEpochNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(System.currentTimeMillis());
        shell.updates().setSendSlots(new SendSlots(roster.index(), roster.count(), unixEpochNanos));
        Duration uptime = Duration.ofNanos(nowNanos - startNanos);
        shell.updates()
                .setTurnOrder(TurnOrder.of(roster.index(), roster.count(), knownPeers + 1, unixEpochNanos, uptime));
    }

    private void resignIfPossible() {
        if (isStopping && !hasResigned && !mapControllers.isHolding()) {
            hasResigned = true;
            leaderElection.resign();
        }
    }
}
