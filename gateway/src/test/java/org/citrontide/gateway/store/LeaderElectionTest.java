package org.citrontide.gateway.store;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.LongConsumer;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.citrontide.core.lease.CandidacyDelay;
import org.citrontide.core.lease.TermNumber;
import org.citrontide.fakes.http.FakeServer;
import org.citrontide.fakes.net.HoldingProxy;
import org.citrontide.fakes.platform.FakePlatformStore;
import org.citrontide.platform.MetadataStore;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests an election at a store that grants leases and whose connections fall silent. */
final class LeaderElectionTest {
    private static final double LINK_MBPS = 1000;
    private static final long AWAIT_SECONDS = 20;
    private static final int UNAVAILABLE = 503;
    private static final long REVISION = 7;
    private static final long CHECK_INTERVAL_MS = 20;

    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final AtomicInteger renewals = new AtomicInteger();
    private final AtomicInteger elections = new AtomicInteger();
    private final AtomicInteger depositions = new AtomicInteger();
    private final List<Long> terms = new CopyOnWriteArrayList<>();

    @AfterEach
    void stop() {
        loops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    /** Guards against a group whose map nobody adapts for seconds because the leader's connection fell silent. */
    @Test
    void aSilentConnectionDoesNotEndATerm() throws IOException {
        try (FakeServer store = new FakeServer(new InetSocketAddress("127.0.0.1", 0), this::serve);
                HoldingProxy proxy = new HoldingProxy(store.port())) {
            startCandidate(proxy.port());
            for (int i = 1; i <= 3; i++) {
                int known = renewals.get();
                await("the lease is renewed", () -> renewals.get() >= known + 2);
                proxy.silence();
            }
            int known = renewals.get();
            await("the lease is renewed after the last silence", () -> renewals.get() >= known + 2);
        }
        assertEquals(1, elections.get());
        assertEquals(0, depositions.get());
    }

    /** Guards against a candidate that takes the failure of its own write for the key of another leader, for good. */
    @Test
    void aCandidateWhoseWriteFailedStandsAgain() throws IOException {
        AtomicInteger writes = new AtomicInteger();
        try (FakeServer store = new FakeServer(
                new InetSocketAddress("127.0.0.1", 0),
                call -> call.target().equals("POST /-/kv-txn") && writes.getAndIncrement() == 0
                        ? FakeServer.Reply.status(UNAVAILABLE)
                        : serve(call))) {
            startCandidate(store.port());
            await("the candidate is elected", () -> elections.get() == 1);
        }
        assertEquals(2, writes.get());
    }

    /** Guards against a candidate that stands again and again while another one leads. */
    @Test
    void aCandidateWaitsWhileAnotherHoldsTheKey() throws IOException {
        AtomicInteger writes = new AtomicInteger();
        try (FakeServer store = new FakeServer(new InetSocketAddress("127.0.0.1", 0), call -> {
            if (!call.target().equals("POST /-/kv-txn")) {
                return serve(call);
            }
            writes.incrementAndGet();
            return FakeServer.Reply.status(MetadataStore.STATUS_PRECONDITION_FAILED);
        })) {
            startCandidate(store.port());
            await("the candidate has tried", () -> writes.get() == 1);
            pause(Duration.ofSeconds(3));
        }
        assertEquals(1, writes.get());
        assertEquals(0, elections.get());
    }

    /** Guards against two terms of one number, and so two maps of one version, after the store has returned. */
    @Test
    void aTermAfterAReturnOfTheStoreHasAHigherNumberThoughTheKeyHasTheSameRevision() throws IOException {
        try (FakePlatformStore store = new FakePlatformStore()) {
            FakePlatformStore.Snapshot copy = store.takeSnapshot();
            startCandidate(store.port());
            await("the first candidate is elected", () -> elections.get() == 1);
            long revision = store.revision();
            store.restore(copy);
            startCandidate(store.port());
            await("the second candidate is elected", () -> elections.get() == 2);
            assertEquals(revision, store.revision(), "the second candidate wrote its key at another revision");
        }
        assertTrue(terms.get(1) > terms.get(0), "terms " + terms);
    }

    /** Guards against two leaders at a time, which can leave a group held for good, after the store has returned. */
    @Test
    void aCandidateOfANewEraWaitsUntilTheLeaderOfTheEraBeforeHasEndedItsTerm() throws IOException {
        AtomicInteger ended = new AtomicInteger(-1);
        try (FakePlatformStore store = new FakePlatformStore()) {
            FakePlatformStore.Snapshot copy = store.takeSnapshot();
            startCandidate(store.port());
            await("the first candidate is elected", () -> elections.get() == 1);
            store.restore(copy);
            startCandidate(store.port(), term -> ended.set(depositions.get()));
            await("the second candidate is elected", () -> ended.get() >= 0);
        }
        assertEquals(1, ended.get(), "terms that had ended when the second one began");
    }

    /** Guards against a term that ends because a refusal names no era. */
    @Test
    void aRefusedRenewalThatNamesNoEraDoesNotEndATerm() throws IOException {
        try (FakeServer store = new FakeServer(new InetSocketAddress("127.0.0.1", 0), call -> {
            if (call.target().startsWith("POST /-/kv-keep/") && renewals.getAndIncrement() % 2 == 0) {
                return FakeServer.Reply.status(UNAVAILABLE);
            }
            call.setHeader("Store-Era", "2");
            return serve(call);
        })) {
            startCandidate(store.port());
            await("the lease is renewed", () -> renewals.get() >= 5);
        }
        assertEquals(1, elections.get());
        assertEquals(0, depositions.get());
    }

    /** Guards against a term that all later ones stay below because one response named another era. */
    @Test
    void aSingleResponseOfAnotherEraNumbersNoTerm() throws IOException {
        AtomicInteger writes = new AtomicInteger();
        try (FakeServer store = new FakeServer(new InetSocketAddress("127.0.0.1", 0), call -> {
            boolean isFirstWrite = call.target().equals("POST /-/kv-txn") && writes.getAndIncrement() == 0;
            call.setHeader("Store-Era", isFirstWrite ? "5000" : "2");
            return serve(call);
        })) {
            startCandidate(store.port());
            await("the candidate is elected", () -> elections.get() == 1);
        }
        assertEquals(2, writes.get());
        assertEquals(List.of(TermNumber.of(2, REVISION)), terms);
    }

    private FakeServer.Reply serve(FakeServer.Call call) {
        if (call.target().startsWith("POST /-/kv-keep/")) {
            renewals.incrementAndGet();
        }
        return FakeServer.Reply.json("{\"lease\":1,\"ttl_ms\":2000,\"revision\":" + REVISION + "}");
    }

    private void startCandidate(int storePort) {
        startCandidate(storePort, term -> {});
    }

    private void startCandidate(int storePort, LongConsumer electionListener) {
        EventLoop loop = loops.next();
        LeaderElection election = new LeaderElection(
                PlatformClient.forStore(loop),
                new InetSocketAddress("127.0.0.1", storePort),
                loop,
                new CandidacyDelay(LINK_MBPS, new SplittableRandom(1)),
                "vm1",
                new LeaderElection.Listener() {
                    @Override
                    public void elected(long term) {
                        terms.add(term);
                        electionListener.accept(term);
                        elections.incrementAndGet();
                    }

                    @Override
                    public void deposed() {
                        depositions.incrementAndGet();
                    }
                });
        loop.scheduleAtFixedRate(election::checkLease, 0, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        loop.execute(() -> election.handleLeaderKey(false));
    }

    private static void pause(Duration duration) {
        try {
            Thread.sleep(duration);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void await(String description, BooleanSupplier condition) {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(AWAIT_SECONDS);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < deadline, "timed out waiting until " + description);
            Thread.onSpinWait();
        }
    }
}
