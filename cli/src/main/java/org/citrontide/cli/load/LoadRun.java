package org.citrontide.cli.load;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import org.HdrHistogram.Histogram;
import org.citrontide.store.client.HttpClients;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.StringRequestContent;

/**
 * Sends a load at a fixed rate: the next request leaves on time whether or not earlier ones were answered, and latency
 * counts from the time at which it was due.
 *
 * <p>Safe for use by many threads.
 */
public final class LoadRun {
    private static final int THREADS = 8;
    private static final int CONNECTIONS = 4096;
    private static final long MAX_LATENCY_MICROS = TimeUnit.HOURS.toMicros(1);
    private static final int DIGITS = 3;
    private static final long GRACE_SECONDS = 60;
    private static final int MAX_ANSWER_BYTES = 16 * 1024 * 1024;
    private static final String VERDICT = "Citrontide-Verdict";
    private static final int OK = 200;

    private final LoadPlan plan;
    private final HttpClient client;
    private final Histogram completed = new Histogram(MAX_LATENCY_MICROS, DIGITS);
    private final Histogram refused = new Histogram(MAX_LATENCY_MICROS, DIGITS);
    private final Map<String, Integer> byVerdict = new TreeMap<>();
    private final List<String> lines = new ArrayList<>();

    private LoadRun(LoadPlan plan, HttpClient client) {
        this.plan = plan;
        this.client = client;
    }

    /**
     * Sends a load and waits for its answers.
     *
     * @param plan the load
     * @return what became of it
     * @throws IOException if the client can't start
     */
    public static LoadReport run(LoadPlan plan) throws IOException {
        HttpClient client = HttpClients.start("load", THREADS, CONNECTIONS);
        return new LoadRun(plan, client).send();
    }

    private LoadReport send() {
        int skipped = plan.ratePerSecond() * plan.warmUpSeconds();
        int count = plan.ratePerSecond() * plan.seconds();
        CountDownLatch left = new CountDownLatch(skipped + count);
        long start = System.nanoTime();
        for (int i = -skipped; i < count; i++) {
            long due = start + (i + skipped) * TimeUnit.SECONDS.toNanos(1) / plan.ratePerSecond();
            waitUntil(due);
            send(i, due, left);
        }
        try {
            left.await(GRACE_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        synchronized (this) {
            return new LoadReport(
                    plan.label(), count, Map.copyOf(byVerdict), completed.copy(), refused.copy(), List.copyOf(lines));
        }
    }

    private void send(int i, long due, CountDownLatch left) {
        InetSocketAddress a = plan.targets().get(Math.floorMod(i, plan.targets().size()));
        Request r = client.newRequest("http://" + a.getHostString() + ":" + a.getPort() + numbered(plan.path(), i))
                .method(plan.method());
        String token = plan.tokens().get(Math.floorMod(i, plan.tokens().size()));
        r.headers(h -> {
            if (!token.isEmpty()) {
                h.put("Authorization", "Bearer " + token);
            }
            plan.key().ifPresent(k -> h.put("Idempotency-Key", numbered(k, i)));
            plan.urgency().ifPresent(u -> h.put("Urgency", u));
            plan.timeoutSeconds().ifPresent(t -> h.put("Request-Timeout", t));
        });
        plan.body().ifPresent(b -> r.body(new StringRequestContent("application/json", numbered(b, i))));
        r.send(new BufferingResponseListener(MAX_ANSWER_BYTES) {
            @Override
            public void onComplete(Result result) {
                if (i >= 0) {
                    record(i, due, result);
                }
                left.countDown();
            }
        });
    }

    private synchronized void record(int i, long due, Result result) {
        long micros = Math.min(MAX_LATENCY_MICROS, TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - due));
        String verdict = verdict(result);
        byVerdict.merge(verdict, 1, Integer::sum);
        lines.add(i + " " + result.getResponse().getStatus() + " " + verdict);
        if (verdict.equals("completed")) {
            completed.recordValue(micros);
        } else if (verdict.equals("not-run")) {
            refused.recordValue(micros);
        }
    }

    private static String verdict(Result result) {
        if (result.isFailed()) {
            return "broken";
        }
        String header = result.getResponse().getHeaders().get(VERDICT);
        if (header != null) {
            return header;
        }
        if (result.getResponse().getTrailers() != null
                && result.getResponse().getTrailers().contains(VERDICT)) {
            return result.getResponse().getTrailers().get(VERDICT);
        }
        return result.getResponse().getStatus() == OK
                ? "completed"
                : "status-" + result.getResponse().getStatus();
    }

    private static String numbered(String text, int i) {
        return text.replace("%n", Integer.toString(i));
    }

    private static void waitUntil(long nanos) {
        long left = nanos - System.nanoTime();
        while (left > 0) {
            LockSupport.parkNanos(left);
            left = nanos - System.nanoTime();
        }
    }
}
