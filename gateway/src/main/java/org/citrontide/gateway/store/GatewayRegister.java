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
 * Keeps a key of this gateway in the store, so that all gateways know how many share what is bounded for all together.
 *
 * <p>Invariant: the key of a gateway that ended is gone after the time of its lease. Not thread-safe: owned by the
 * event loop.
 */
public final class GatewayRegister {
    /** Prefix of the keys; the name of the VM follows. */
    public static final String PREFIX = "citrontide/gateways/";

    private static final EventLog LOG = EventLog.of(GatewayRegister.class);
    // A gateway that was killed counts for so long; renewals are rare, since each is priced.
    private static final Duration TIME = Duration.ofSeconds(60);
    private static final Duration RENEWAL = Duration.ofSeconds(20);
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
    // Spreads the calls of gateways that start together.
    private static final Duration SPREAD = Duration.ofSeconds(5);
    private static final int OK = 200;

    private final HttpCaller caller;
    private final InetSocketAddress store;
    private final EventLoop loop;
    private final RandomGenerator random;
    private final String vm;

    /**
     * Makes a register.
     *
     * @param caller sends the calls
     * @param store address of the store
     * @param loop event loop
     * @param random spreads the calls of many processes
     * @param vm name of this VM
     */
    public GatewayRegister(
            HttpCaller caller, InetSocketAddress store, EventLoop loop, RandomGenerator random, String vm) {
        this.caller = caller;
        this.store = store;
        this.loop = loop;
        this.random = random;
        this.vm = vm;
    }

    /** Begins to keep the key. */
    public void start() {
        retry("not registered yet");
    }

    private void retry(String why) {
        LOG.info("registration-pending").with("why", why).write();
        loop.schedule(this::register, random.nextLong(SPREAD.toNanos()), TimeUnit.NANOSECONDS);
    }

    private void register() {
        caller.call(store, MetadataStore.grantLease(TIME), CALL_TIMEOUT).whenComplete((reply, failure) -> {
            if (failure != null || reply.status() != OK) {
                retry(failure != null ? failure.getMessage() : "status " + reply.status());
                return;
            }
            try {
                write(MetadataStore.decodeLeaseId(reply.body()));
            } catch (DecodeException e) {
                retry(e.getMessage());
            }
        });
    }

    /** Writes over the key of an earlier process of this VM, which has ended. */
    private void write(long lease) {
        Map<String, byte[]> value = Map.of(PREFIX + vm, vm.getBytes(StandardCharsets.UTF_8));
        PlatformCall put = MetadataStore.transaction(Map.of(), value, lease, List.of());
        caller.call(store, put, CALL_TIMEOUT).whenComplete((reply, failure) -> {
            if (failure != null || reply.status() != OK) {
                retry(failure != null ? failure.getMessage() : "status " + reply.status());
                return;
            }
            LOG.info("registered").with("lease", lease).write();
            renewLater(lease);
        });
    }

    private void renewLater(long lease) {
        loop.schedule(() -> renew(lease), RENEWAL.toNanos(), TimeUnit.NANOSECONDS);
    }

    private void renew(long lease) {
        caller.call(store, MetadataStore.renewLease(lease), CALL_TIMEOUT).whenComplete((reply, failure) -> {
            if (failure == null && reply.status() == MetadataStore.STATUS_NOT_FOUND) {
                retry("lease ended");
            } else {
                renewLater(lease);
            }
        });
    }
}
