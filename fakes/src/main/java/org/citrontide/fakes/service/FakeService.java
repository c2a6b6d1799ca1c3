package org.citrontide.fakes.service;

import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.citrontide.fakes.http.FakeServer;

/**
 * A fake of a plain service with bookings, which it counts by idempotency key, and turns, which are read idempotently.
 *
 * <p>Invariant: each run of a booking is counted before its reply is sent. Thread-safe.
 */
public final class FakeService implements FakeServer.RequestHandler {
    private static final int NOT_FOUND = 404;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Map<String, Integer> runsByKey = new TreeMap<>();
    private volatile ServiceFaults faults = new ServiceFaults(0, 0);
    private int repliesToBreak;
    private int lastBookingNumber;

    @Override
    public FakeServer.Reply serve(FakeServer.Call call) throws IOException, InterruptedException {
        String target = call.target();
        if (target.equals("GET /fake/runs")) {
            return FakeServer.Reply.json(runsAsJson());
        }
        if (target.equals("POST /fake/faults")) {
            setFaults(JSON.readValue(call.body(), ServiceFaults.class));
            return FakeServer.Reply.json("{}");
        }
        if (target.equals("POST /bookings")) {
            String answer = book(call.header("Idempotency-Key", "none"));
            TimeUnit.MILLISECONDS.sleep(faults.delayMillis());
            injectLostReply();
            return FakeServer.Reply.json(answer);
        }
        if (target.startsWith("GET /turns/")) {
            TimeUnit.MILLISECONDS.sleep(faults.delayMillis());
            return FakeServer.Reply.json("{\"headgate\":\"" + target.substring("GET /turns/".length()) + "\"}");
        }
        return FakeServer.Reply.status(NOT_FOUND);
    }

    private synchronized String book(String key) {
        runsByKey.merge(key, 1, Integer::sum);
        return "{\"booking\":" + ++lastBookingNumber + ",\"key\":\"" + key + "\"}";
    }

    private synchronized String runsAsJson() throws IOException {
        return JSON.writeValueAsString(runsByKey);
    }

    private synchronized void setFaults(ServiceFaults f) {
        faults = f;
        repliesToBreak = f.breakAnswers();
    }

    private synchronized void injectLostReply() throws IOException {
        if (repliesToBreak > 0) {
            repliesToBreak--;
            throw new IOException("injected fault: the reply is lost");
        }
    }

    /**
     * Faults that a fake service injects. Immutable.
     *
     * @param delayMillis delay between the run of a request and its reply, in ms
     * @param breakAnswers number of next bookings that run but whose reply is lost
     */
    public record ServiceFaults(long delayMillis, int breakAnswers) {}
}
