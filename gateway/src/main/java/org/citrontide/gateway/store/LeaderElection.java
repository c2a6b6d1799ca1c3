package org.citrontide.gateway.store;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.citrontide.core.lease.CandidacyDelay;
import org.citrontide.core.lease.EraGrace;
import org.citrontide.core.lease.LeaseValidity;
import org.citrontide.core.lease.TermNumber;
import org.citrontide.platform.DecodeException;
import org.citrontide.platform.MetadataStore;
import org.citrontide.platform.PlatformCall;
import org.citrontide.runtime.log.EventLog;

/**
 * Elects one of the gateway processes as the leader: the one that wrote the leader key under a lease of the store.
 *
 * <p>Invariant: a process considers itself the leader only while its lease is certain to be valid, measured on both
 * clocks from before the call that granted or renewed the lease; a single renewal without a response does not end a
 * term. A term begins only if the lease was granted and the key written in the same era of the store, so that a single
 * response with another era numbers no term. A term ends with its era, and none begins before the terms of the era
 * before have ended. Not thread-safe: confined to the event loop.
 */
public final class LeaderElection {
    /** Key that the leader writes; its value is the name of the leader's VM. */
    public static final String LEADER_KEY = "citrontide/map-controller";

    private static final EventLog LOG = EventLog.of(LeaderElection.class);
    private static final Duration LEASE_TTL = Duration.ofMillis(2000);
    private static final Duration RENEWAL_INTERVAL = Duration.ofMillis(600);
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(500);
    private static final int OK = 200;

    /** Receives the start and the end of each term of this process. */
    public interface Listener {

        /**
         * Called when this process becomes the leader.
         *
         * @param term number of the term, higher than that of any earlier term
         */
        void elected(long term);

        /** Called when this process is no longer the leader. */
        void deposed();
    }

    private final PlatformClient client;
    private final InetSocketAddress store;
    private final EventLoop loop;
    private final CandidacyDelay candidacyDelay;
    private final String vm;
    private final Listener listener;
    private final LeaseValidity lease = new LeaseValidity(LEASE_TTL);
    private final EraGrace eraGrace = new EraGrace(LEASE_TTL);
    private OptionalLong leaseNumber = OptionalLong.empty();
    private OptionalLong leaseEra = OptionalLong.empty();
    private boolean isLeader;
    private boolean isAttemptPending;
    private boolean isKeyHeld = true;
    private boolean hasResigned;
    private boolean wasUnanswered;

    /** A way to send a call to the store. */
    @FunctionalInterface
    private interface StoreCall {
        CompletableFuture<PlatformResponse> send(InetSocketAddress address, PlatformCall call, Duration timeout);
    }

    /**
     * Creates a candidate.
     *
     * @param client client for the calls to the store
     * @param store address of the store
     * @param loop event loop that runs all calls and timers
     * @param candidacyDelay delay between the loss of a leader and an attempt; candidates leave the key of an exited
     *     leader to its lease
     * @param vm name of this VM, written as the value of the leader key
     * @param listener listener for terms
     */
    public LeaderElection(
            PlatformClient client,
            InetSocketAddress store,
            EventLoop loop,
            CandidacyDelay candidacyDelay,
            String vm,
            Listener listener) {
        this.client = client;
        this.store = store;
        this.loop = loop;
        this.candidacyDelay = candidacyDelay;
        this.vm = vm;
        this.listener = listener;
    }

    /**
     * Handles the era of the store as read by this process.
     *
     * @param era number of the era, 0 if the store names none
     */
    public void handleEra(long era) {
        eraGrace.recordEra(era, System.nanoTime());
    }

    /**
     * Handles the state of the leader key as read from the store. If no process holds the key, this process becomes a
     * candidate after its delay.
     *
     * @param isHeld whether the key exists
     */
    public void handleLeaderKey(boolean isHeld) {
        isKeyHeld = isHeld;
        if (!isHeld && isLeader) {
            depose("key removed");
        }
        if (!isHeld && !isAttemptPending && !hasResigned) {
            isAttemptPending = true;
            long graceNanos = eraGrace.remaining(System.nanoTime()).toNanos();
            long delayNanos = Math.max(graceNanos, candidacyDelay.next().toNanos());
            loop.schedule(this::requestLease, delayNanos, TimeUnit.NANOSECONDS);
        }
    }

    /**
     * Ends the term if the lease is no longer valid. Called periodically, and before each action that needs the lease.
     */
    public void checkLease() {
        if (isLeader && !lease.isValid(System.nanoTime(), System.currentTimeMillis())) {
            depose("lease not renewed in time");
        }
    }

    /**
     * Ends the term and its lease, so that another process can be elected immediately. This process doesn't stand for
     * election again.
     */
    public void resign() {
        hasResigned = true;
        if (isLeader) {
            depose("stopping");
        }
        leaseNumber.ifPresent(this::endLease);
    }

    private void requestLease() {
        isAttemptPending = false;
        if (isKeyHeld || hasResigned || isLeader) {
            return;
        }
        isAttemptPending = true;
        lease.recordRequest(System.nanoTime(), System.currentTimeMillis());
        client.call(store, MetadataStore.grantLease(LEASE_TTL), CALL_TIMEOUT).whenComplete((response, failure) -> {
            isAttemptPending = false;
            if (failure != null || response.status() != OK) {
                scheduleRetry();
                return;
            }
            try {
                handleLease(MetadataStore.decodeLeaseId(response.body()), response.storeEra());
            } catch (DecodeException e) {
                LOG.warn("lease-unreadable").with("why", e.getMessage()).write();
                scheduleRetry();
            }
        });
    }

    private void handleLease(long number, OptionalLong era) {
        handleEra(era.orElse(0));
        if (eraGrace.remaining(System.nanoTime()).isPositive()) {
            LOG.info("candidacy-postponed").with("era", era.orElse(0)).write();
            endLease(number);
            return;
        }
        leaseEra = era;
        writeLeaderKey(number);
    }

    private void writeLeaderKey(long number) {
        isAttemptPending = true;
        byte[] value = vm.getBytes(StandardCharsets.UTF_8);
        PlatformCall put =
                MetadataStore.transaction(Map.of(LEADER_KEY, 0L), Map.of(LEADER_KEY, value), number, List.of());
        client.call(store, put, CALL_TIMEOUT).whenComplete((response, failure) -> {
            isAttemptPending = false;
            if (failure != null || response.status() != OK || hasResigned) {
                // A write without a response may still be carried out; ending the lease removes its key.
                isKeyHeld = failure == null && response.status() == MetadataStore.STATUS_PRECONDITION_FAILED;
                endLease(number);
                return;
            }
            if (!response.storeEra().equals(leaseEra)) {
                LOG.warn("era-changed-in-election")
                        .with("era", response.storeEra().orElse(0))
                        .with("lease-era", leaseEra.orElse(0))
                        .write();
                isKeyHeld = false;
                endLease(number);
                return;
            }
            try {
                long revision = MetadataStore.decodeRevision(response.body());
                startTerm(number, TermNumber.of(leaseEra.orElse(0), revision));
            } catch (DecodeException e) {
                LOG.warn("lease-unreadable").with("why", e.getMessage()).write();
                endLease(number);
            }
        });
    }

    private void startTerm(long number, long term) {
        leaseNumber = OptionalLong.of(number);
        wasUnanswered = false;
        lease.recordGrant();
        if (!lease.isValid(System.nanoTime(), System.currentTimeMillis())) {
            endLease(number);
            return;
        }
        isLeader = true;
        isKeyHeld = true;
        LOG.info("elected").with("term", term).with("lease", number).write();
        listener.elected(term);
        renewLater();
    }

    private void renewLater() {
        loop.schedule(this::renew, RENEWAL_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void renew() {
        checkLease();
        if (!isLeader) {
            return;
        }
        sendRenewal(client::call);
    }

    private void sendRenewal(StoreCall send) {
        long number = leaseNumber.orElseThrow();
        lease.recordRequest(System.nanoTime(), System.currentTimeMillis());
        send.send(store, MetadataStore.renewLease(number), CALL_TIMEOUT).whenComplete((response, failure) -> {
            if (!isLeader || leaseNumber.isEmpty() || leaseNumber.getAsLong() != number) {
                return;
            }
            if (failure == null && response.status() == MetadataStore.STATUS_NOT_FOUND) {
                depose("lease ended");
                return;
            }
            // A response that names no era may come from what stands before the store, and says nothing of it.
            boolean isOtherEra = failure == null
                    && response.storeEra().isPresent()
                    && !response.storeEra().equals(leaseEra);
            if (isOtherEra) {
                depose("store returned");
                endLease(number);
                return;
            }
            if (failure == null && response.status() == OK) {
                lease.recordGrant();
                wasUnanswered = false;
            }
            if (failure instanceof UnansweredCallException && !wasUnanswered) {
                // The connection may have fallen silent; at the usual interval the lease would end before a response.
                wasUnanswered = true;
                LOG.info("lease-renewal-unanswered").with("lease", number).write();
                sendRenewal(client::callOnNewConnection);
                return;
            }
            renewLater();
        });
    }

    private void depose(String reason) {
        isLeader = false;
        LOG.info("deposed")
                .with("why", reason)
                .with("lease", leaseNumber.orElse(0))
                .write();
        listener.deposed();
    }

    private void endLease(long number) {
        leaseNumber = OptionalLong.empty();
        client.call(store, MetadataStore.revokeLease(number), CALL_TIMEOUT).whenComplete((response, failure) -> {
            if (failure != null) {
                LOG.info("lease-revocation-unanswered").with("lease", number).write();
            }
        });
        scheduleRetry();
    }

    /**
     * Schedules another attempt after a failure. The mirror reports that the key was removed, but not that it was never
     * written.
     */
    private void scheduleRetry() {
        if (hasResigned) {
            return;
        }
        loop.schedule(
                () -> {
                    if (!isKeyHeld && !isAttemptPending) {
                        isAttemptPending = true;
                        requestLease();
                    }
                },
                LEASE_TTL.toMillis(),
                TimeUnit.MILLISECONDS);
    }
}
