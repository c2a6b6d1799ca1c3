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
import org.citrontide.runtime.eventloop.Clock;
import org.citrontide.runtime.eventloop.EventLoop;
import org.citrontide.runtime.log.EventLog;
import org.citrontide.wire.codec.ConfigurationCodec;
import org.citrontide.wire.generated.ConfigurationRequest;
import org.citrontide.wire.generated.Frame;
import org.citrontide.wire.generated.Heartbeat;
import org.citrontide.wire.link.Link;

/**
 * Runs the configuration sync controller of this process on its own event loop.
 *
 * <p>Invariant: the version of {@link #inForce()} never decreases. Thread-safe.
 */
public final class ConfigurationService implements AutoCloseable {
    private static final EventLog LOG = EventLog.of(ConfigurationService.class);
    private static final int QUEUE_CAPACITY = 4096;
    private static final Duration TICK_INTERVAL = Duration.ofMillis(200);
    private static final Duration NEVER_CONFIRMED_AGE = Duration.ofDays(1);
    private static final long MIN_CONFIRMATION_ADVANCE_NANOS =
            Duration.ofSeconds(1).toNanos();

    private final Clock clock;
    private final ConfigurationSyncController controller;
    private final StoreConfigurationReader storeReader;
    private final EventLoop<ConfigurationSyncEvent> eventLoop;
    private final Map<Long, Link> links = new ConcurrentHashMap<>();
    private final Consumer<Configuration> installListener;
    private volatile Configuration inForce = Configuration.NONE;
    private volatile Optional<Long> lastConfirmedNanos = Optional.empty();
    private volatile boolean watchesStore;
    private Head lastHead = Head.EMPTY;
    private long nextTickNanos;

    /**
     * Creates the service; {@link #start()} starts it.
     *
     * @param storeReader reads the configuration from the platform's key-value service
     * @param clock monotonic clock
     * @param random random source for jitter
     * @param installListener called on the event loop with each configuration put in force
     */
    public ConfigurationService(
            StoreConfigurationReader storeReader,
            Clock clock,
            RandomGenerator random,
            Consumer<Configuration> installListener) {
        this.storeReader = storeReader;
        this.clock = clock;
        this.controller = new ConfigurationSyncController(random);
        this.installListener = installListener;
        this.eventLoop = new EventLoop<>("configuration", QUEUE_CAPACITY, new ConfigurationSyncHandler());
    }

    /** Starts the event loop. */
    public void start() {
        eventLoop.start();
    }

    /**
     * Returns the configuration in force.
     *
     * @return the configuration, or {@link Configuration#NONE} before the first one is installed
     */
    public Configuration inForce() {
        return inForce;
    }

    /**
     * Sets whether this process watches the platform's key-value service on behalf of its zone.
     *
     * @param isWatcher whether this process is a watcher
     */
    public void setWatcher(boolean isWatcher) {
        watchesStore = isWatcher;
    }

    /**
     * Builds the next heartbeat.
     *
     * @return a heartbeat with the version in force and the time since the platform confirmed it, if it has
     */
    public Heartbeat buildHeartbeat() {
        Heartbeat.Builder b = Heartbeat.newBuilder().setConfigurationVersion(inForce.version());
        lastConfirmedNanos.ifPresent(t -> b.setConfigurationAgeMs(
                Duration.ofNanos(Math.max(0, clock.nanos() - t)).toMillis()));
        return b.build();
    }

    /**
     * Registers a new link.
     *
     * @param link the new link
     */
    public void linkUp(Link link) {
        links.put(link.id(), link);
    }

    /**
     * Unregisters a closed link.
     *
     * @param link the closed link
     */
    public void linkDown(Link link) {
        links.remove(link.id());
        eventLoop.offer(new ConfigurationSyncEvent.PeerDisconnected(link.id()));
    }

    /**
     * Handles a frame that concerns the configuration.
     *
     * @param link the link that the frame arrived on
     * @param frame the received frame
     * @return true if the frame was handled, false if it does not concern the configuration
     */
    public boolean handleFrame(Link link, Frame frame) {
        switch (frame.getBodyCase()) {
            case HEARTBEAT -> handleHeartbeat(link, frame.getHeartbeat());
            case CONFIGURATION_REQUEST ->
                link.send(Frame.newBuilder()
                        .setConfigurationBundle(ConfigurationCodec.encodeBundle(
                                inForce, frame.getConfigurationRequest().getHaveVersion()))
                        .build());
            case CONFIGURATION_BUNDLE ->
                eventLoop.offer(ConfigurationCodec.decodeBundle(link.id(), frame.getConfigurationBundle()));
            default -> {
                return false;
            }
        }
        return true;
    }

    @Override
    public void close() {
        eventLoop.close();
    }

    private void handleHeartbeat(Link link, Heartbeat h) {
        Duration age = h.hasConfigurationAgeMs() ? Duration.ofMillis(h.getConfigurationAgeMs()) : NEVER_CONFIRMED_AGE;
        if (isNewInformation(h.getConfigurationVersion(), age)) {
            eventLoop.offer(new ConfigurationSyncEvent.PeerDigest(link.id(), h.getConfigurationVersion(), age));
        }
    }

    /** Returns whether a digest adds information; most don't, and are dropped to avoid waking the event loop. */
    private boolean isNewInformation(long version, Duration age) {
        long own = inForce.version();
        if (version != own) {
            return version > own;
        }
        long confirmed = clock.nanos() - age.toNanos();
        return lastConfirmedNanos
                .map(t -> confirmed - t > MIN_CONFIRMATION_ADVANCE_NANOS)
                .orElse(age.compareTo(NEVER_CONFIRMED_AGE) < 0);
    }

    private void execute(ConfigurationSyncAction action) {
        switch (action) {
            case ConfigurationSyncAction.RequestFiles a -> requestFiles(a);
            case ConfigurationSyncAction.ReadStore a ->
                storeReader.read(a.watch(), lastHead, inForce.version()).thenAccept(eventLoop::put);
            case ConfigurationSyncAction.InstallConfiguration i -> install(i.configuration());
            case ConfigurationSyncAction.ReportStoreRegression a ->
                LOG.warn("store-version-regressed")
                        .with("store-version", a.storeVersion())
                        .with("in-force", a.inForce())
                        .write();
            case ConfigurationSyncAction.ReportInvalidConfiguration a ->
                LOG.warn("configuration-invalid")
                        .with("version", a.version())
                        .with("first-violation", a.violations().getFirst().text())
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
        installListener.accept(c);
    }

    private final class ConfigurationSyncHandler implements EventLoop.Handler<ConfigurationSyncEvent> {
        @Override
        public void handle(ConfigurationSyncEvent event) {
            if (event instanceof ConfigurationSyncEvent.StoreHead h) {
                lastHead = h.head();
            }
            runController(event);
        }

        @Override
        public void runDueTasks() {
            long now = clock.nanos();
            if (now >= nextTickNanos) {
                nextTickNanos = now + TICK_INTERVAL.toNanos();
                runController(new ConfigurationSyncEvent.Tick(watchesStore));
            }
        }

        @Override
        public long nanosToNextTask() {
            return nextTickNanos - clock.nanos();
        }

        private void runController(ConfigurationSyncEvent event) {
            long now = clock.nanos();
            List<ConfigurationSyncAction> actions = controller.handle(event, now);
            lastConfirmedNanos = controller.confirmationAge(now).map(a -> now - a.toNanos());
            actions.forEach(ConfigurationService.this::execute);
        }
    }
}
