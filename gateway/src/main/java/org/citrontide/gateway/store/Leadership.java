package org.citrontide.gateway.store;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import io.netty.channel.EventLoop;
import org.citrontide.core.lease.LeaseValidity;
import org.citrontide.platform.DecodeException;
import org.citrontide.platform.MetadataStore;
import org.citrontide.platform.PlatformCall;
import org.citrontide.runtime.log.EventLog;

/**
 * Makes one process of all the leader: the one that wrote a key under a lease of the store.
 *
 * <p>Invariant: the process takes itself for the leader only within the time that its lease surely lasts, counted from
 * before the call that granted or renewed it, on both clocks. Not thread-safe: owned by the event loop.
 */
public final class Leadership {
    /** Key under which the leader is written. */
    public static final String KEY = "citrontide/map-controller";

    private static final EventLog LOG = EventLog.of(Leadership.class);
    private static final Duration TIME = Duration.ofMillis(2000);
    private static final Duration RENEWAL = Duration.ofMillis(600);
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(500);
    // Leaves the key of a process that ended to its lease, and spreads the attempts of the others.
    private static final Duration CANDIDACY_SPREAD = Duration.ofMillis(300);
    private static final int OK = 200;

    /** Hears of the beginning and end of terms. */
    public interface Listener {

        /**
         * This process leads.
         *
         * @param term number of the term, higher than any before
         */
        void elected(long term);

        /** This process does not lead any more. */
        void deposed();
    }

    private final HttpCaller caller;
    private final InetSocketAddress store;
    private final EventLoop loop;
    private final RandomGenerator random;
    private final String vm;
    private final Listener listener;
    private final LeaseValidity lease = new LeaseValidity(TIME);
    private OptionalLong leaseNumber = OptionalLong.empty();
    private boolean leads;
    private boolean applying;
    private boolean isKeyHeld = true;
    private boolean resigned;

    /**
     * Makes a candidate.
     *
     * @param caller sends the calls
     * @param store address of the store
     * @param loop event loop
     * @param random spreads the attempts of many processes
     * @param vm name of this VM, written as the value
     * @param listener hears of terms
     */
    public Leadership(
            HttpCaller caller,
            InetSocketAddress store,
            EventLoop loop,
            RandomGenerator random,
            String vm,
            Listener listener) {
        this.caller = caller;
        this.store = store;
        this.loop = loop;
        this.random = random;
        this.vm = vm;
        this.listener = listener;
    }

    /**
     * Learns whether some process leads.
     *
     * @param isHeld whether the key is there
     */
    public void keySeen(boolean isHeld) {
        isKeyHeld = isHeld;
        if (!isHeld && leads) {
            depose("key removed");
        }
        if (!isHeld && !applying && !resigned) {
            applying = true;
            loop.schedule(this::apply, random.nextLong(CANDIDACY_SPREAD.toNanos()), TimeUnit.NANOSECONDS);
        }
    }

    /** Checks the time of the lease; called often, and before each act that needs it. */
    public void check() {
        if (leads && !lease.isValid(System.nanoTime(), System.currentTimeMillis())) {
            depose("lease not renewed in time");
        }
    }

    /** Gives up the term, so that another process can lead at once. */
    public void resign() {
        resigned = true;
        if (leads) {
            depose("stopping");
        }
        leaseNumber.ifPresent(this::end);
    }

    private void apply() {
        applying = false;
        if (isKeyHeld || resigned || leads) {
            return;
        }
        applying = true;
        lease.requestSent(System.nanoTime(), System.currentTimeMillis());
        caller.call(store, MetadataStore.grantLease(TIME), CALL_TIMEOUT).whenComplete((reply, failure) -> {
            applying = false;
            if (failure != null || reply.status() != OK) {
                retry();
                return;
            }
            try {
                write(MetadataStore.decodeLeaseId(reply.body()));
            } catch (DecodeException e) {
                LOG.warn("lease-unreadable").with("why", e.getMessage()).write();
                retry();
            }
        });
    }

    private void write(long number) {
        applying = true;
        byte[] value = vm.getBytes(StandardCharsets.UTF_8);
        PlatformCall put = MetadataStore.transaction(Map.of(KEY, 0L), Map.of(KEY, value), number, List.of());
        caller.call(store, put, CALL_TIMEOUT).whenComplete((reply, failure) -> {
            applying = false;
            if (failure != null || reply.status() != OK || resigned) {
                // An unanswered write may still be done; ending the lease removes its key.
                isKeyHeld = true;
                end(number);
                return;
            }
            try {
                lead(number, MetadataStore.decodeRevision(reply.body()));
            } catch (DecodeException e) {
                LOG.warn("lease-unreadable").with("why", e.getMessage()).write();
                end(number);
            }
        });
    }

    private void lead(long number, long term) {
        leaseNumber = OptionalLong.of(number);
        lease.granted();
        if (!lease.isValid(System.nanoTime(), System.currentTimeMillis())) {
            end(number);
            return;
        }
        leads = true;
        isKeyHeld = true;
        LOG.info("elected").with("term", term).with("lease", number).write();
        listener.elected(term);
        renewLater();
    }

    private void renewLater() {
        loop.schedule(this::renew, RENEWAL.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void renew() {
        check();
        if (!leads) {
            return;
        }
        long number = leaseNumber.orElseThrow();
        lease.requestSent(System.nanoTime(), System.currentTimeMillis());
        caller.call(store, MetadataStore.renewLease(number), CALL_TIMEOUT).whenComplete((reply, failure) -> {
            if (!leads || leaseNumber.isEmpty() || leaseNumber.getAsLong() != number) {
                return;
            }
            if (failure == null && reply.status() == MetadataStore.STATUS_NOT_FOUND) {
                depose("lease ended");
                return;
            }
            if (failure == null && reply.status() == OK) {
                lease.granted();
            }
            renewLater();
        });
    }

    private void depose(String why) {
        leads = false;
        LOG.info("deposed")
                .with("why", why)
                .with("lease", leaseNumber.orElse(0))
                .write();
        listener.deposed();
    }

    private void end(long number) {
        leaseNumber = OptionalLong.empty();
        caller.call(store, MetadataStore.revokeLease(number), CALL_TIMEOUT).whenComplete((reply, failure) -> {
            if (failure != null) {
                LOG.info("lease-end-unanswered").with("lease", number).write();
            }
        });
        retry();
    }

    /** Applies again after a failure; the mirror tells when the key goes, but not if it never came. */
    private void retry() {
        if (resigned) {
            return;
        }
        loop.schedule(
                () -> {
                    if (!isKeyHeld && !applying) {
                        applying = true;
                        apply();
                    }
                },
                TIME.toMillis(),
                TimeUnit.MILLISECONDS);
    }
}
