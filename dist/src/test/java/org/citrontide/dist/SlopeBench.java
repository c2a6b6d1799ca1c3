package org.citrontide.dist;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.IntConsumer;
import java.util.function.IntFunction;

import com.google.protobuf.ByteString;
import org.citrontide.core.admission.AdmissionController;
import org.citrontide.core.admission.AdmissionKey;
import org.citrontide.core.claim.Claim;
import org.citrontide.core.claim.ClaimHolder;
import org.citrontide.core.claim.KeyHash;
import org.citrontide.core.dispatch.DispatchAction;
import org.citrontide.core.dispatch.DispatchEvent;
import org.citrontide.core.dispatch.DispatchRequest;
import org.citrontide.core.dispatch.Dispatcher;
import org.citrontide.core.expertmap.ExpertMap;
import org.citrontide.core.expertmap.PlacementPlanner;
import org.citrontide.core.expertmap.RankLoads;
import org.citrontide.core.membership.ListedVm;
import org.citrontide.core.membership.SidecarReport;
import org.citrontide.core.membership.UpstreamId;
import org.citrontide.core.membership.UpstreamSubset;
import org.citrontide.core.publication.Configuration;
import org.citrontide.core.publication.Head;
import org.citrontide.core.publication.Urgency;
import org.citrontide.core.queue.QueueShares;
import org.citrontide.core.queue.QueuedRequest;
import org.citrontide.core.queue.SidecarQueue;
import org.citrontide.core.verdict.Verdict;
import org.citrontide.wire.codec.ClaimCodec;
import org.citrontide.wire.codec.ConfigurationCodec;
import org.citrontide.wire.generated.AnswerChunk;
import org.citrontide.wire.generated.Frame;
import org.citrontide.wire.generated.Heartbeat;
import org.citrontide.wire.generated.StatusReport;

/** Prints the figures that docs/CAPACITY.md is derived from: frame sizes, time per decision, heap per item of state. */
public final class SlopeBench {
    private static final int FRAME_HEADER_BYTES = 4;
    private static final int WARM_UP_ROUNDS = 200_000;
    private static final int ROUNDS = 400_000;
    private static final String SERVICE_FILE = "kind = \"plain\"\nservice = \"s\"\n[[calls]]\npath = \"/\"\n";

    private SlopeBench() {}

    /**
     * Runs all measurements.
     *
     * @param args ignored
     */
    public static void main(String[] args) {
        measureFrameSizes();
        for (int upstreams : new int[] {30, 480}) {
            measureDispatch(upstreams);
        }
        for (int waiting : new int[] {100, 10_000}) {
            measureQueue(waiting);
        }
        measureAdmission();
        measurePlanner();
        measureHeap("upstream in a dispatcher", 10_000, SlopeBench::dispatcherOf);
        measureHeap("waiting request in a queue", 100_000, SlopeBench::queueOf);
        measureHeap("claim in a bucket", 100_000, SlopeBench::claims);
        measureHeap("admission level", 8_000, SlopeBench::admissionOf);
    }

    private static void measureFrameSizes() {
        printFrameSize(
                "heartbeat",
                Frame.newBuilder()
                        .setHeartbeat(Heartbeat.newBuilder()
                                .setConfigurationVersion(10_000_000)
                                .setConfigurationAgeMs(2000))
                        .build());
        printFrameSize(
                "status report",
                Frame.newBuilder()
                        .setStatus(StatusReport.newBuilder()
                                .setAccepting(true)
                                .setRunning(200)
                                .setWaiting(20)
                                .setWaitMs(300)
                                .setSlots(256))
                        .build());
        printFrameSize(
                "chunk with a token of 80 bytes",
                Frame.newBuilder()
                        .setAnswerChunk(AnswerChunk.newBuilder()
                                .setId(10_000_000)
                                .setOffset(20_000)
                                .setData(ByteString.copyFrom(new byte[80])))
                        .build());
        int oneClaimBytes = ClaimCodec.encode(claims(1)).length;
        int thousandClaimsBytes = ClaimCodec.encode(claims(1000)).length;
        System.out.printf("bytes claim=%.1f%n", (thousandClaimsBytes - oneClaimBytes) / 999.0);
        int files10 = ConfigurationCodec.encode(head(10)).length;
        int files20 = ConfigurationCodec.encode(head(20)).length;
        System.out.printf("bytes head-20-files=%d head-per-file=%.1f%n", files20, (files20 - files10) / 10.0);
    }

    private static void printFrameSize(String name, Frame f) {
        System.out.printf("bytes %s=%d%n", name.replace(' ', '-'), f.getSerializedSize() + FRAME_HEADER_BYTES);
    }

    private static void measureDispatch(int upstreams) {
        Dispatcher d = dispatcherOf(upstreams);
        measureTime("dispatch-and-end upstreams=" + upstreams, i -> {
            DispatchRequest r = new DispatchRequest(
                    i, "s", "team" + i % 250, Urgency.LIVE, 100, true, Optional.empty(), Long.MAX_VALUE);
            DispatchAction.SendAttempt s = (DispatchAction.SendAttempt)
                    d.handle(new DispatchEvent.RequestArrived(r), i).getFirst();
            d.handle(new DispatchEvent.AnswerHead(s.attempt(), 200, ""), i);
            d.handle(new DispatchEvent.AttemptEnded(s.attempt(), new Verdict.Completed(200), 0), i);
        });
    }

    private static Dispatcher dispatcherOf(int upstreams) {
        Dispatcher d = new Dispatcher("z", new UpstreamSubset("entry", "z", 100_000), new SplittableRandom(1));
        Map<String, Configuration.FileText> files = Map.of("s.toml", new Configuration.FileText(1, SERVICE_FILE));
        d.handle(
                new DispatchEvent.ConfigurationChanged(
                        Configuration.check(1, files).value().orElseThrow()),
                0);
        List<ListedVm> list = new ArrayList<>();
        for (int i = 0; i < upstreams; i++) {
            list.add(new ListedVm("vm" + i, "z", "s", new UpstreamId("10.0." + i / 250 + "." + i % 250, 9000), false));
        }
        d.handle(new DispatchEvent.VmListChanged(list), 0);
        for (ListedVm vm : list) {
            d.handle(new DispatchEvent.LinkUp(vm.id()), 0);
            d.handle(new DispatchEvent.ReportReceived(vm.id(), new SidecarReport(true, 1, 0, 0, 8, 0)), 0);
        }
        return d;
    }

    private static void measureQueue(int waiting) {
        SidecarQueue q = queueOf(waiting);
        measureTime("queue-insert-and-take waiting=" + waiting, i -> {
            q.offer(queuedRequest(i + waiting));
            q.take();
        });
    }

    private static SidecarQueue queueOf(int count) {
        SidecarQueue q = new SidecarQueue(
                new QueueShares(count + 10, Map.of(Urgency.DAILY, 10, Urgency.OVERNIGHT, 5), Map.of()));
        for (int i = 0; i < count; i++) {
            q.offer(queuedRequest(i));
        }
        return q;
    }

    private static QueuedRequest queuedRequest(int i) {
        return new QueuedRequest(i, Urgency.ofOrdinal(i % 3), "team" + i % 250, 1 + i % 500, Long.MAX_VALUE - i);
    }

    private static void measureAdmission() {
        AdmissionController a = admissionOf(750);
        AdmissionKey[] keys = new AdmissionKey[750];
        for (int i = 0; i < keys.length; i++) {
            keys[i] = key(i);
        }
        measureTime("admission", i -> a.admit(keys[i % keys.length], 0));
    }

    private static AdmissionController admissionOf(int count) {
        AdmissionController a = new AdmissionController();
        for (int i = 0; i < count; i++) {
            a.recordRefused(key(i), 0);
        }
        return a;
    }

    private static AdmissionKey key(int i) {
        return new AdmissionKey("s" + i / 750, Urgency.ofOrdinal(i % 3), "team" + i);
    }

    private static void measurePlanner() {
        SplittableRandom random = new SplittableRandom(2);
        double[] speeds = random.doubles(256, 0.9, 1).toArray();
        PlacementPlanner p = new PlacementPlanner(Duration.ofMinutes(10), Duration.ZERO);
        ExpertMap start = ExpertMap.roundRobin(256, 256, 2);
        long best = Long.MAX_VALUE;
        for (int i = 0; i < 200; i++) {
            double[] loads = random.doubles(256, 1, 1000).toArray();
            long t = System.nanoTime();
            p.plan(new RankLoads(loads, speeds, 2), start);
            best = Math.min(best, System.nanoTime() - t);
        }
        System.out.printf("time plan-256-ranks-256-experts best-ms=%.2f%n", best / 1e6);
    }

    private static List<Claim> claims(int count) {
        List<Claim> claims = new ArrayList<>(count);
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < count; i++) {
            KeyHash key = new KeyHash(random.nextLong(), random.nextLong());
            claims.add(new Claim(key, new ClaimHolder(random.nextLong(), 1_000_000 + i), 1_800_000_000_000L));
        }
        return claims;
    }

    private static Head head(int files) {
        Map<String, Head.HeadFile> map = new HashMap<>();
        List<Head.Publication> publications = new ArrayList<>();
        String id = "123e4567-e89b-12d3-a456-426614174000";
        for (int i = 0; i < files; i++) {
            map.put("service-" + i + ".toml", new Head.HeadFile(10_000_000, "a".repeat(64), id));
        }
        for (int i = 0; i < Head.MAX_PUBLICATIONS; i++) {
            publications.add(new Head.Publication(id, 10_000_000 - i));
        }
        return new Head(10_000_000, map, publications);
    }

    private static void measureTime(String name, IntConsumer work) {
        for (int i = 0; i < WARM_UP_ROUNDS; i++) {
            work.accept(i);
        }
        long start = System.nanoTime();
        for (int i = WARM_UP_ROUNDS; i < WARM_UP_ROUNDS + ROUNDS; i++) {
            work.accept(i);
        }
        System.out.printf("time %s ns=%.0f%n", name, (System.nanoTime() - start) / (double) ROUNDS);
    }

    private static void measureHeap(String name, int count, IntFunction<Object> factory) {
        factory.apply(count);
        long before = usedHeap();
        Object retained = factory.apply(count);
        long after = usedHeap();
        System.out.printf("heap %s bytes=%d%n", name.replace(' ', '-'), (after - before) / count);
        if (retained.hashCode() == 0) {
            System.out.println();
        }
    }

    private static long usedHeap() {
        System.gc();
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
