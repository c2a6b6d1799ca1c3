package org.citrontide.store.configuration;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import org.citrontide.core.publication.Configuration;
import org.citrontide.core.publication.ConfigurationSyncAction;
import org.citrontide.core.publication.ConfigurationSyncController;
import org.citrontide.core.publication.ConfigurationSyncEvent;
import org.citrontide.core.publication.Head;
import org.citrontide.runtime.duty.Clock;
import org.citrontide.runtime.duty.EventLoop;
import org.citrontide.runtime.log.EventLog;
import org.citrontide.wire.codec.ConfigurationCodec;
import org.citrontide.wire.generated.ConfigurationRequest;
import org.citrontide.wire.generated.Frame;
import org.citrontide.wire.generated.Heartbeat;
import org.citrontide.wire.link.Link;

/**
 * Runs the spread controller of this process on a thread of its own.
 *
 * <p>Invariant: what {@link #inForce()} returns never goes to a lower version. Safe for use by many threads.
 */
public final class ConfigurationService implements AutoCloseable {
    private static final EventLog LOG = EventLog.of(ConfigurationService.class);
    private static final int RING = 4096;
    private static final Duration TICK = Duration.ofMillis(200);
    private static final Duration NEVER = Duration.ofDays(1);
    private static final long NEWS_NANOS = Duration.ofSeconds(1).toNanos();

    private final Clock clock;
    private final ConfigurationSyncController controller;
    private final StoredConfiguration stored;
    private final EventLoop<ConfigurationSyncEvent> duty;
    private final Map<Long, Link> links = new ConcurrentHashMap<>();
    private final Consumer<Configuration> installed;
    private volatile Configuration inForce = Configuration.NONE;
    private volatile Optional<Long> confirmedNanos = Optional.empty();
    private volatile boolean watcher;
    private Head lastHead = Head.EMPTY;
    private long nextTickNanos;

    /**
     * Prepares the service; {@link #start()} starts it.
     *
     * @param stored reader of the platform's service
     * @param clock source of time
     * @param random source of jitter
     * @param installed told of each configuration put in force, on the service's thread
     */
    public ConfigurationService(
            StoredConfiguration stored, Clock clock, RandomGenerator random, Consumer<Configuration> installed) {
        this.stored = stored;
        this.clock = clock;
        this.controller = new ConfigurationSyncController(random);
        this.installed = installed;
        this.duty = new EventLoop<>("configuration", RING, new ConfigurationSyncHandler());
    }

    /** Starts the thread. */
    public void start() {
        duty.start();
    }

    /**
     * Returns the configuration in force.
     *
     * @return the configuration, {@link Configuration#NONE} before the first
     */
    public Configuration inForce() {
        return inForce;
    }

    /**
     * Sets whether this process watches the platform's service for its zone.
     *
     * @param isWatcher true for a watcher
     */
    public void setWatcher(boolean isWatcher) {
        watcher = isWatcher;
    }

    /**
     * Builds the next heartbeat.
     *
     * @return version in force and the time since the platform confirmed it
     */
    public Heartbeat heartbeat() {
        Heartbeat.Builder b = Heartbeat.newBuilder().setConfigurationVersion(inForce.version());
        confirmedNanos.ifPresent(t -> b.setConfigurationAgeMs(
                Duration.ofNanos(Math.max(0, clock.nanos() - t)).toMillis()));
        return b.build();
    }

    /**
     * Learns of a link.
     *
     * @param link the link
     */
    public void linkUp(Link link) {
        links.put(link.id(), link);
    }

    /**
     * Learns of the end of a link.
     *
     * @param link the link
     */
    public void linkDown(Link link) {
        links.remove(link.id());
        duty.offer(new ConfigurationSyncEvent.PeerDisconnected(link.id()));
    }

    /**
     * Takes a frame that concerns the configuration.
     *
     * @param link link that it came from
     * @param frame the frame
     * @return false if the frame concerns something else
     */
    public boolean received(Link link, Frame frame) {
        switch (frame.getBodyCase()) {
            case HEARTBEAT -> heartbeatReceived(link, frame.getHeartbeat());
            case CONFIGURATION_REQUEST ->
                link.send(Frame.newBuilder()
                        .setConfigurationBundle(ConfigurationCodec.bundle(
                                inForce, frame.getConfigurationRequest().getHaveVersion()))
                        .build());
            case CONFIGURATION_BUNDLE ->
                duty.offer(ConfigurationCodec.peerFiles(link.id(), frame.getConfigurationBundle()));
            default -> {
                return false;
            }
        }
        return true;
    }

    @Override
    public void close() {
        duty.close();
    }

    private void heartbeatReceived(Link link, Heartbeat h) {
        Duration age = h.hasConfigurationAgeMs() ? Duration.ofMillis(h.getConfigurationAgeMs()) : NEVER;
        if (isNews(h.getConfigurationVersion(), age)) {
            duty.offer(new ConfigurationSyncEvent.PeerDigest(link.id(), h.getConfigurationVersion(), age));
        }
    }

    /** Most digests say what is known already; they need not wake the thread. */
    private boolean isNews(long version, Duration age) {
        long own = inForce.version();
        if (version != own) {
            return version > own;
        }
        long confirmed = clock.nanos() - age.toNanos();
        return confirmedNanos.map(t -> confirmed - t > NEWS_NANOS).orElse(age.compareTo(NEVER) < 0);
    }

    private void perform(ConfigurationSyncAction action) {
        switch (action) {
            case ConfigurationSyncAction.RequestFiles a -> requestFiles(a);
            case ConfigurationSyncAction.ReadStore a ->
                stored.read(a.watch(), lastHead, inForce.version()).thenAccept(duty::put);
            case ConfigurationSyncAction.InstallConfiguration i -> install(i.configuration());
            case ConfigurationSyncAction.ReportStoreRegression a ->
                LOG.warn("store-went-back")
                        .with("store-version", a.storeVersion())
                        .with("in-force", a.inForce())
                        .write();
            case ConfigurationSyncAction.ReportInvalidConfiguration a ->
                LOG.warn("configuration-invalid")
                        .with("version", a.version())
                        .with("first", a.violations().getFirst().text())
                        .write();
        }
    }

    private void requestFiles(ConfigurationSyncAction.RequestFiles a) {
        Link link = links.get(a.peer());
        if (link == null) {
            return;
        }
        link.send(Frame.newBuilder()
                .setConfigurationRequest(ConfigurationRequest.newBuilder().setHaveVersion(a.haveVersion()))
                .build());
    }

    private void install(Configuration c) {
        inForce = c;
        LOG.info("configuration-installed")
                .with("version", c.version())
                .with("services", c.services().size())
                .write();
        installed.accept(c);
    }

    private final class ConfigurationSyncHandler implements EventLoop.Handler<ConfigurationSyncEvent> {
        @Override
        public void handle(ConfigurationSyncEvent event) {
            if (event instanceof ConfigurationSyncEvent.StoreHead h) {
                lastHead = h.head();
            }
            step(event);
        }

        @Override
        public void runDueTasks() {
            long now = clock.nanos();
            if (now >= nextTickNanos) {
                nextTickNanos = now + TICK.toNanos();
                step(new ConfigurationSyncEvent.Tick(watcher));
            }
        }

        @Override
        public long nanosToNextTask() {
            return nextTickNanos - clock.nanos();
        }

        private void step(ConfigurationSyncEvent event) {
            long now = clock.nanos();
            List<ConfigurationSyncAction> actions = controller.handle(event, now);
            confirmedNanos = controller.confirmationAge(now).map(a -> now - a.toNanos());
            actions.forEach(ConfigurationService.this::perform);
        }
    }
}
