package org.citrontide.gateway.store;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.citrontide.core.quarantine.CrashEvidence;
import org.citrontide.fakes.platform.FakePlatformStore;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertTrue;

final class CrashEvidenceStoreTest {
    private static final int OBSERVATIONS = 10;
    private static final int OUTAGE_MS = 5000;
    private static final int RETRY_DELAY_MS = 2000;

    @Test
    void retriesDoNotMultiplyWithTheObservationsOfAnOutage() throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (FakePlatformStore store = new FakePlatformStore()) {
            store.setMode(FakePlatformStore.Mode.REFUSING);
            EventLoop loop = group.next();
            PlatformClient client = PlatformClient.forStore(loop);
            CrashEvidenceStore evidence = new CrashEvidenceStore(
                    client, new InetSocketAddress("127.0.0.1", store.port()), List.of(), loop, "vm1", all -> {});
            for (int i = 0; i < OBSERVATIONS; i++) {
                CrashEvidence.Crash crash = new CrashEvidence.Crash("u" + i, i, List.of(List.of("part")));
                loop.submit(() -> evidence.publish(crash)).sync();
                TimeUnit.MILLISECONDS.sleep(30);
            }
            TimeUnit.MILLISECONDS.sleep(OUTAGE_MS);
            long calls = loop.submit(client::callCount).get();
            // One call for each observation at most, and one chain of retries.
            assertTrue(calls <= OBSERVATIONS + 1 + OUTAGE_MS / RETRY_DELAY_MS, calls + " calls");
        } finally {
            group.shutdownGracefully();
        }
    }
}
