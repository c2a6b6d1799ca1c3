package org.citrontide.fakes.service;

import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.citrontide.fakes.http.FakeServer;

/**
 * A stand-in for a plain service: bookings that it records by key, and turns that may be checked any number of times.
 *
 * <p>Invariant: every run of a booking is recorded before its answer leaves. Safe for use by many threads.
 */
public final class FakeService implements FakeServer.Pages {
    private static final int NOT_FOUND = 404;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Map<String, Integer> runs = new TreeMap<>();
    private volatile ServiceFaults faults = new ServiceFaults(0, 0);
    private int breaksLeft;
    private int bookings;

    @Override
    public FakeServer.Reply serve(FakeServer.Call call) throws IOException, InterruptedException {
        String target = call.target();
        if (target.equals("GET /fake/runs")) {
            return FakeServer.Reply.json(runsJson());
        }
        if (target.equals("POST /fake/faults")) {
            setFaults(JSON.readValue(call.body(), ServiceFaults.class));
            return FakeServer.Reply.json("{}");
        }
        if (target.equals("POST /bookings")) {
            String answer = book(call.header("Idempotency-Key", "none"));
            TimeUnit.MILLISECONDS.sleep(faults.delayMillis());
            breakIfAsked();
            return FakeServer.Reply.json(answer);
        }
        if (target.startsWith("GET /turns/")) {
            TimeUnit.MILLISECONDS.sleep(faults.delayMillis());
            return FakeServer.Reply.json("{\"headgate\":\"" + target.substring("GET /turns/".length()) + "\"}");
        }
        return FakeServer.Reply.status(NOT_FOUND);
    }

    private synchronized String book(String key) {
        runs.merge(key, 1, Integer::sum);
        return "{\"booking\":" + ++bookings + ",\"key\":\"" + key + "\"}";
    }

    private synchronized String runsJson() throws IOException {
        return JSON.writeValueAsString(runs);
    }

    private synchronized void setFaults(ServiceFaults f) {
        faults = f;
        breaksLeft = f.breakAnswers();
    }

    private synchronized void breakIfAsked() throws IOException {
        if (breaksLeft > 0) {
            breaksLeft--;
            throw new IOException("the answer is lost");
        }
    }

    /**
     * The faults that a fake service shows. Immutable.
     *
     * @param delayMillis time between a run and its answer, in ms
     * @param breakAnswers number of bookings from now on that run but get no answer
     */
    public record ServiceFaults(long delayMillis, int breakAnswers) {}
}
