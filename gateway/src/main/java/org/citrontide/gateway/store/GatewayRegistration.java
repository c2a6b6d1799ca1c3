package org.citrontide.gateway.store;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import io.netty.channel.EventLoop;
import org.citrontide.platform.DecodeException;
import org.citrontide.platform.MetadataStore;
import org.citrontide.platform.PlatformCall;
import org.citrontide.runtime.log.EventLog;

/**
 * Keeps this gateway registered in the store under a lease, so that each gateway can count the gateways and compute its
 * share of the limits that apply to all of them together.
 *
 * <p>Invariant: the key of a gateway that has exited is removed once its lease expires. Not thread-safe: confined to
 * the event loop.
 */
public final class GatewayRegistration {
    /** Prefix of the registration keys, followed by the name of the VM. */
    public static final String PREFIX = "citrontide/gateways/";

    private static final EventLog LOG = EventLog.of(GatewayRegistration.class);
    // A gateway that was killed is counted until its lease expires; renewals are infrequent because each call is
    // charged.
    private static final Duration LEASE_TTL = Duration.ofSeconds(60);
    private static final Duration RENEWAL_INTERVAL = Duration.ofSeconds(20);
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
    // Spreads the calls of gateways that start at the same time.
    private static final Duration REGISTRATION_JITTER = Duration.ofSeconds(5);
    private static final int OK = 200;

    private final PlatformClient client;
    private final InetSocketAddress store;
    private final EventLoop loop;
    private final RandomGenerator random;
    private final String vm;

    /**
     * Creates a registration that has not started.
     *
     * @param client client for the calls to the store
     * @param store address of the store
     * @param loop event loop that runs all calls and timers
     * @param random source of the random delays that spread the calls of many processes
     * @param vm name of this VM
     */
    public GatewayRegistration(
            PlatformClient client, InetSocketAddress store, EventLoop loop, RandomGenerator random, String vm) {
        this.client = client;
        this.store = store;
        this.loop = loop;
        this.random = random;
        this.vm = vm;
    }

    /** Registers this gateway after a random delay, then keeps renewing its lease. */
    public void start() {
        scheduleRegistration("not registered yet");
    }

    private void scheduleRegistration(String reason) {
        LOG.info("registration-pending").with("why", reason).write();
        loop.schedule(this::requestLease, random.nextLong(REGISTRATION_JITTER.toNanos()), TimeUnit.NANOSECONDS);
    }

    private void requestLease() {
        client.call(store, MetadataStore.grantLease(LEASE_TTL), CALL_TIMEOUT).whenComplete((response, failure) -> {
            if (failure != null || response.status() != OK) {
                scheduleRegistration(failure != null ? failure.getMessage() : "status " + response.status());
                return;
            }
            try {
                writeKey(MetadataStore.decodeLeaseId(response.body()));
            } catch (DecodeException e) {
                scheduleRegistration(e.getMessage());
            }
        });
    }

    /** Writes the key, replacing that of an earlier process of this VM, which has exited. */
    private void writeKey(long lease) {
        Map<String, byte[]> value = Map.of(PREFIX + vm, vm.getBytes(StandardCharsets.UTF_8));
        PlatformCall put = MetadataStore.transaction(Map.of(), value, lease, List.of());
        client.call(store, put, CALL_TIMEOUT).whenComplete((response, failure) -> {
            if (failure != null || response.status() != OK) {
                scheduleRegistration(failure != null ? failure.getMessage() : "status " + response.status());
                return;
            }
            LOG.info("registered").with("lease", lease).write();
            renewLater(lease);
        });
    }

    private void renewLater(long lease) {
        loop.schedule(() -> renew(lease), RENEWAL_INTERVAL.toNanos(), TimeUnit.NANOSECONDS);
    }

    private void renew(long lease) {
        client.call(store, MetadataStore.renewLease(lease), CALL_TIMEOUT).whenComplete((response, failure) -> {
            if (failure == null && response.status() == MetadataStore.STATUS_NOT_FOUND) {
                scheduleRegistration("lease ended");
            } else {
                renewLater(lease);
            }
        });
    }
}
