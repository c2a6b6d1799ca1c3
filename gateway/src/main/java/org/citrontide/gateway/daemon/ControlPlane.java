package org.citrontide.gateway.daemon;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import io.netty.channel.EventLoop;
import org.citrontide.core.gateway.RetrySlackShare;
import org.citrontide.core.routes.ListedUpstream;
import org.citrontide.core.routes.RoutingTable;
import org.citrontide.gateway.dispatch.GatewayShell;
import org.citrontide.gateway.maps.MapControllerShell;
import org.citrontide.gateway.store.GatewayRegistration;
import org.citrontide.gateway.store.LeaderElection;
import org.citrontide.gateway.store.PlatformClient;
import org.citrontide.gateway.store.StoreMirror;

/**
 * What one gateway does beside serving requests: follows the store, stands for leader, and changes expert maps while it
 * leads.
 *
 * <p>Not thread-safe: owned by the event loop, but for {@link #isLoaded} and {@link #isHolding}.
 */
final class ControlPlane implements StoreMirror.Listener, LeaderElection.Listener {
    // A change of map waits for a tick at each of its steps, each of which delays better passes.
    private static final Duration LEADER_TICK = Duration.ofMillis(20);
    private static final Duration FOLLOWER_TICK = Duration.ofMillis(250);

    private final EventLoop loop;
    private final GatewayShell shell;
    private final StoreMirror mirror;
    private final LeaderElection leaderElection;
    private final GatewayRegistration registration;
    private final MapControllerShell maps;
    private final RetrySlackShare slack;
    private boolean leads;
    private boolean stopping;
    private boolean resigned;
    private volatile boolean holding;

    ControlPlane(
            GatewaySettings settings,
            EventLoop loop,
            RandomGenerator random,
            GatewayShell shell,
            RetrySlackShare slack) {
        this.slack = slack;
        this.loop = loop;
        this.shell = shell;
        PlatformClient client = new PlatformClient(loop);
        this.mirror = new StoreMirror(client, settings.storeAddress(), settings.peers(), loop, random, this);
        this.leaderElection = new LeaderElection(client, settings.storeAddress(), loop, random, settings.vm(), this);
        this.registration = new GatewayRegistration(client, settings.storeAddress(), loop, random, settings.vm());
        this.maps = new MapControllerShell(client, loop, leaderElection::checkLease);
    }

    void start() {
        mirror.start();
        registration.start();
        tick();
    }

    /** Gives up the lead as soon as no change of map holds a group. */
    void stop() {
        stopping = true;
        resignIfPossible();
    }

    Optional<byte[]> storePage() {
        return mirror.page();
    }

    boolean isLoaded() {
        return mirror.isLoaded();
    }

    boolean isHolding() {
        return holding;
    }

    @Override
    public void configurationChanged(RoutingTable table) {
        shell.configured(table);
        maps.configurationChanged(table);
    }

    @Override
    public void upstreamsUpdated(List<ListedUpstream> upstreams) {
        shell.listed(upstreams);
        maps.upstreamsUpdated(upstreams);
    }

    @Override
    public void leaderKeyUpdated(boolean isHeld) {
        leaderElection.handleLeaderKey(isHeld);
    }

    @Override
    public void gatewayCountUpdated(int count) {
        slack.setGatewayCount(count);
    }

    @Override
    public void elected(long term) {
        leads = true;
        maps.elected(term);
    }

    @Override
    public void deposed() {
        leads = false;
        maps.deposed();
    }

    private void tick() {
        leaderElection.checkLease();
        maps.tick();
        holding = maps.isHolding();
        resignIfPossible();
        Duration pause = leads || holding ? LEADER_TICK : FOLLOWER_TICK;
        loop.schedule(this::tick, pause.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void resignIfPossible() {
        if (stopping && !resigned && !maps.isHolding()) {
            resigned = true;
            leaderElection.resign();
        }
    }
}
