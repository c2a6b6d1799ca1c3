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
 * Generates an open-loop load: requests are sent at a fixed rate independent of responses, and latency is measured from
 * the time at which a request was scheduled, which avoids coordinated omission.
 *
 * <p>Thread-safe.
 */
public final class LoadGenerator {
    private static final int MAX_THREADS = 8;
    private static final int MAX_CONNECTIONS = 4096;
    private static final long MAX_LATENCY_MICROS = TimeUnit.HOURS.toMicros(1);
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final long RESPONSE_WAIT_SECONDS = 60;
    private static final int MAX_RESPONSE_BYTES = 16 * 1024 * 1024;
    private static final String VERDICT_HEADER = "Citrontide-Verdict";
    private static final int OK = 200;

    private final LoadPlan plan;
    private final HttpClient client;
    private final Histogram completed = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
    private final Histogram refused = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
    private final Map<String, Integer> byVerdict = new TreeMap<>();
    private final List<String> verdictLines = new ArrayList<>();

    private LoadGenerator(LoadPlan plan, HttpClient client) {
        this.plan = plan;
        this.client = client;
    }

    /**
     * Sends a load and waits for the responses.
     *
     * @param plan parameters of the load
     * @return the results
     * @throws IOException if the HTTP client can't be started
     */
    public static LoadReport run(LoadPlan plan) throws IOException {
        HttpClient client = HttpClients.start("load", MAX_THREADS, MAX_CONNECTIONS);
        return new LoadGenerator(plan, client).execute();
    }

    private LoadReport execute() {
        int warmUpCount = plan.ratePerSecond() * plan.warmUpSeconds();
        int count = plan.ratePerSecond() * plan.seconds();
        CountDownLatch outstanding = new CountDownLatch(warmUpCount + count);
        long start = System.nanoTime();
        for (int i = -warmUpCount; i < count; i++) {
            long due = start + (i + warmUpCount) * TimeUnit.SECONDS.toNanos(1) / plan.ratePerSecond();
            sleepUntil(due);
            send(i, due, outstanding);
        }
        try {
            outstanding.await(RESPONSE_WAIT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        synchronized (this) {
            return new LoadReport(
                    plan.label(),
                    count,
                    Map.copyOf(byVerdict),
                    completed.copy(),
                    refused.copy(),
                    List.copyOf(verdictLines));
        }
    }

    private void send(int i, long due, CountDownLatch outstanding) {
        InetSocketAddress a = plan.targets().get(Math.floorMod(i, plan.targets().size()));
        Request r = client.newRequest("http://" + a.getHostString() + ":" + a.getPort() + expandNumber(plan.path(), i))
                .method(plan.method());
        String token = plan.tokens().get(Math.floorMod(i, plan.tokens().size()));
        r.headers(h -> {
            if (!token.isEmpty()) {
                h.put("Authorization", "Bearer " + token);
            }
            plan.key().ifPresent(k -> h.put("Idempotency-Key", expandNumber(k, i)));
            plan.urgency().ifPresent(u -> h.put("Urgency", u));
            plan.timeoutSeconds().ifPresent(t -> h.put("Request-Timeout", t));
        });
        plan.body().ifPresent(b -> r.body(new StringRequestContent("application/json", expandNumber(b, i))));
        r.send(new BufferingResponseListener(MAX_RESPONSE_BYTES) {
            @Override
            public void onComplete(Result result) {
                if (i >= 0) {
                    record(i, due, result);
                }
                outstanding.countDown();
            }
        });
    }

    private synchronized void record(int i, long due, Result result) {
        long micros = Math.min(MAX_LATENCY_MICROS, TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - due));
        String verdict = verdictOf(result);
        byVerdict.merge(verdict, 1, Integer::sum);
        verdictLines.add(i + " " + result.getResponse().getStatus() + " " + verdict);
        if (verdict.equals("completed")) {
            completed.recordValue(micros);
        } else if (verdict.equals("not-run")) {
            refused.recordValue(micros);
        }
    }

    private static String verdictOf(Result result) {
        if (result.isFailed()) {
            return "broken";
        }
        String header = result.getResponse().getHeaders().get(VERDICT_HEADER);
        if (header != null) {
            return header;
        }
        if (result.getResponse().getTrailers() != null
                && result.getResponse().getTrailers().contains(VERDICT_HEADER)) {
            return result.getResponse().getTrailers().get(VERDICT_HEADER);
        }
        return result.getResponse().getStatus() == OK
                ? "completed"
                : "status-" + result.getResponse().getStatus();
    }

    private static String expandNumber(String text, int i) {
        return text.replace("%n", Integer.toString(i));
    }

    private static void sleepUntil(long nanos) {
        long remaining = nanos - System.nanoTime();
        while (remaining > 0) {
            LockSupport.parkNanos(remaining);
            remaining = nanos - System.nanoTime();
        }
    }
}
