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
import org.citrontide.gateway.maps.MapShell;
import org.citrontide.gateway.store.GatewayRegister;
import org.citrontide.gateway.store.HttpCaller;
import org.citrontide.gateway.store.Leadership;
import org.citrontide.gateway.store.StoreMirror;

/**
 * What one gateway does beside serving requests: follows the store, stands for leader, and changes expert maps while it
 * leads.
 *
 * <p>Not thread-safe: owned by the event loop, but for {@link #isLoaded} and {@link #isHolding}.
 */
final class ControlPlane implements StoreMirror.Listener, Leadership.Listener {
    // A change of map waits for a tick at each of its steps, each of which delays better passes.
    private static final Duration LEADER_TICK = Duration.ofMillis(20);
    private static final Duration FOLLOWER_TICK = Duration.ofMillis(250);

    private final EventLoop loop;
    private final GatewayShell shell;
    private final StoreMirror mirror;
    private final Leadership leadership;
    private final GatewayRegister register;
    private final MapShell maps;
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
        HttpCaller caller = new HttpCaller(loop);
        this.mirror = new StoreMirror(caller, settings.storeAddress(), settings.peers(), loop, random, this);
        this.leadership = new Leadership(caller, settings.storeAddress(), loop, random, settings.vm(), this);
        this.register = new GatewayRegister(caller, settings.storeAddress(), loop, random, settings.vm());
        this.maps = new MapShell(caller, loop, leadership::check);
    }

    void start() {
        mirror.start();
        register.start();
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
    public void configured(RoutingTable table) {
        shell.setRoutingTable(table);
        maps.configured(table);
    }

    @Override
    public void listed(List<ListedUpstream> upstreams) {
        shell.updateUpstreams(upstreams);
        maps.listed(upstreams);
    }

    @Override
    public void leaderKey(boolean isHeld) {
        leadership.keySeen(isHeld);
    }

    @Override
    public void gateways(int count) {
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
        leadership.check();
        maps.tick();
        holding = maps.isHolding();
        resignIfPossible();
        Duration pause = leads || holding ? LEADER_TICK : FOLLOWER_TICK;
        loop.schedule(this::tick, pause.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void resignIfPossible() {
        if (stopping && !resigned && !maps.isHolding()) {
            resigned = true;
            leadership.resign();
        }
    }
}
