package org.citrontide.dist;

import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.citrontide.fakes.engine.FakeEngine;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Kills, freezes, cuts and stops real processes, and checks what callers and the booking service saw. */
final class DeploymentTest {
    private static final String STORE_DOWN = "{\"down\":true}";
    private static final String MESSAGES = "[{\"role\":\"user\",\"content\":\"When does headgate 7 open?\"}]";
    private static final String BOOKINGS = "/services/booking/bookings";
    private static final Map<String, String> TEAM = Map.of("Authorization", "Bearer " + Deployment.TOKEN);
    private static final String STORE_WELL = "{}";

    private final Deployment d;

    DeploymentTest() throws IOException {
        d = new Deployment();
    }

    @BeforeEach
    void start() throws IOException, InterruptedException {
        d.fake("store", "store");
        d.fake("service", "booking");
        d.entry("entry1");
        d.entry("entry2");
        d.sidecar("side1", "booking", "booking");
        d.sidecar("side2", "booking", "booking");
        assertEquals(0, d.publish(), d.commandOutput());
        d.awaitReady("entry1", "entry2", "side1", "side2");
        awaitServing("entry1");
        awaitServing("entry2");
    }

    @AfterEach
    void stop() throws IOException {
        d.close();
    }

    @Test
    void killedSidecarRunsNoBookingTwice() throws Exception {
        d.faults("booking", "{\"delayMillis\":200}");
        List<CompletableFuture<List<String>>> callers = bookings(12);
        d.await("runs", () -> runs().size() >= 2);
        d.signal("side1", "KILL");
        checkBookings(callers);
    }

    @Test
    void frozenSidecarRunsNoBookingTwiceWhenItWakes() throws Exception {
        d.faults("booking", "{\"delayMillis\":200}");
        List<CompletableFuture<List<String>>> callers = bookings(12);
        d.await("runs", () -> runs().size() >= 2);
        d.signal("side1", "STOP");
        d.await("link-down", () -> d.log("entry1").contains("event=link-down"));
        d.signal("side1", "CONT");
        checkBookings(callers);
    }

    @Test
    void plannedStopOfSidecarAndEntryCutsOffNothing() throws Exception {
        d.faults("booking", "{\"delayMillis\":100}");
        List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            String key = "stop" + i;
            answers.add(CompletableFuture.supplyAsync(() -> bookQuietly("entry1", key)));
        }
        d.await("runs", () -> !runs().isEmpty());
        d.signal("side1", "TERM");
        d.signal("entry1", "TERM");
        for (CompletableFuture<HttpResponse<String>> a : answers) {
            assertEquals("completed", d.verdict(a.join()), a.join().body());
        }
        assertEquals(143, d.waitFor("side1"));
        assertEquals(143, d.waitFor("entry1"));
        assertTrue(d.log("side1").contains("event=stopped drained=true"));
        assertTrue(d.log("entry1").contains("event=stopped cut-off=0"));
        assertEquals("completed", d.verdict(d.checkTurn("entry2")));
    }

    @Test
    void storeOutageRefusesBookingsAloneAndKeepsTheConfiguration() throws Exception {
        d.faults("store", STORE_DOWN);
        HttpResponse<String> refused = d.book("entry1", "during-outage");
        assertEquals(503, refused.statusCode());
        assertEquals("not-run", d.verdict(refused));
        assertTrue(refused.headers().firstValue("Retry-After").isPresent());
        assertEquals("completed", d.verdict(d.checkTurn("entry1")));
        assertEquals(3, d.publish());
        assertTrue(d.commandOutput().contains("nothing was changed"), d.commandOutput());
        d.signal("entry2", "KILL");
        d.waitFor("entry2");
        d.restart("entry2", "entry");
        d.awaitReady("entry2");
        d.faults("store", STORE_WELL);
        d.await("a booking after the outage", () -> "completed".equals(d.verdict(bookQuietly("entry1", "after"))));
        assertEquals(Map.of("after", 1), runs());
    }

    @Test
    void lostAnswersOfTheStoreChangeNothingForCallersAndOperators() throws Exception {
        d.faults("store", "{\"loseAnswers\":1}");
        assertEquals("completed", d.verdict(d.book("entry1", "lost-claim-answer")));
        assertEquals(Map.of("lost-claim-answer", 1), runs());
        String text = Files.readString(d.serviceFiles().resolve("booking.toml"));
        Files.writeString(d.serviceFiles().resolve("booking.toml"), text.replace("slots = 16", "slots = 15"));
        d.faults("store", "{\"loseAnswers\":2}");
        assertEquals(0, d.publish(), d.commandOutput());
        assertTrue(d.commandOutput().contains("version 2"), d.commandOutput());
        d.await(
                "version 2",
                () -> metric("entry2", "citrontide_configuration_version").equals("2.0"));
        assertEquals(0, d.publish());
        assertTrue(d.commandOutput().contains("unchanged"), d.commandOutput());
    }

    @Test
    void lostAnswerOfTheServiceIsNeverRunAgain() throws Exception {
        d.faults("booking", "{\"breakAnswers\":1}");
        assertEquals("may-have-run", d.verdict(d.book("entry1", "broken")));
        HttpResponse<String> again = d.book("entry2", "broken");
        assertEquals(409, again.statusCode());
        assertEquals("may-have-run", d.verdict(again));
        HttpResponse<String> first = d.book("entry1", "whole");
        assertEquals(first.body(), d.book("entry2", "whole").body());
        assertEquals(Map.of("broken", 1, "whole", 1), runs());
    }

    @Test
    void brokenStreamIsResumedElsewhereOrPlainlyBroken() throws Exception {
        for (String i : List.of("1", "2")) {
            d.fake("engine", "engine" + i);
            d.sidecar("roster" + i, "roster", "engine" + i);
        }
        d.awaitReady("roster1", "roster2");
        d.await(
                "a whole stream",
                () -> chat().filter(b -> b.equals(wholeStream())).isPresent());
        for (String i : List.of("1", "2")) {
            d.faults("engine" + i, "{\"breakAfterEvents\":3,\"breakCount\":1}");
        }
        assertEquals(Optional.of(wholeStream()), chat());
        for (String i : List.of("1", "2")) {
            d.faults("engine" + i, "{\"breakAfterEvents\":1,\"breakCount\":100}");
        }
        assertEquals(Optional.empty(), chat(), "a stream that can't be resumed must not look whole");
    }

    @Test
    void garbageAndWrongKeysCloseTheirOwnLinkAlone() throws Exception {
        try (Socket s = new Socket("127.0.0.1", d.port("side1"))) {
            s.getOutputStream().write(new byte[] {127, 127, 127, 127, 1, 2, 3});
            s.getInputStream().readAllBytes();
        }
        d.await("bad-frame", () -> d.log("side1").contains("fault=bad-frame"));
        Files.writeString(d.dir.resolve("wrong-key"), "another-key-0123456789");
        int code = d.command(
                "status", "--link-key-file", d.dir.resolve("wrong-key").toString(), "--links", d.address("side1"));
        assertEquals(3, code);
        d.await("wrong-key", () -> d.log("side1").contains("fault=wrong-key"));
        assertFalse(d.log("side1").contains(Deployment.KEY));
        assertEquals("completed", d.verdict(d.checkTurn("entry1")));
    }

    @Test
    void badRequestsAreRefusedAsNotRun() throws IOException {
        assertRefused(400, "POST", "/v1/chat/completions", "{", TEAM);
        assertRefused(400, "POST", "/v1/chat/completions", "{}", TEAM);
        assertRefused(404, "GET", "/services/nothing/turns/1", "", TEAM);
        assertRefused(404, "GET", "/services/booking/nothing", "", TEAM);
        assertRefused(404, "GET", "/other", "", TEAM);
        assertRefused(401, "GET", "/services/booking/turns/1", "", Map.of());
        assertRefused(401, "GET", "/services/booking/turns/1", "", Map.of("Authorization", "Bearer wrong"));
        assertRefused(413, "POST", BOOKINGS, "x".repeat(2_000_000), TEAM);
        assertRefused(413, "POST", BOOKINGS, "x".repeat(5_000_000), TEAM);
        assertRefused(400, "POST", BOOKINGS, "{}", teamWith("Request-Timeout", "soon"));
        assertRefused(400, "POST", BOOKINGS, "{}", teamWith("Request-Timeout", "-1"));
        assertRefused(400, "POST", BOOKINGS, "{}", teamWith("Urgency", "now"));
        assertRefused(400, "POST", BOOKINGS, "{}", teamWith("Idempotency-Key", "k".repeat(129)));
        assertEquals(Map.of(), runs());
    }

    private static Map<String, String> teamWith(String header, String value) {
        Map<String, String> headers = new HashMap<>(TEAM);
        headers.put(header, value);
        return headers;
    }

    private void assertRefused(int status, String method, String path, String body, Map<String, String> headers)
            throws IOException {
        HttpResponse<String> r = d.send(method, "entry1-http", path, body, headers);
        assertEquals(status, r.statusCode(), r.body());
        assertEquals("not-run", d.verdict(r));
        assertEquals(
                "application/problem+json",
                r.headers().firstValue("Content-Type").orElse(""));
        JsonNode json = new ObjectMapper().readTree(r.body());
        assertEquals(status, json.path("status").asInt());
        assertNotEquals("", json.path("requestId").asText());
    }

    /** Sends one streamed chat; empty if the connection broke or the request was refused. */
    private Optional<String> chat() {
        String body = "{\"model\":\"roster\",\"stream\":true,\"max_tokens\":8,\"messages\":" + MESSAGES + "}";
        try {
            HttpResponse<String> r = d.send("POST", "entry1-http", "/v1/chat/completions", body, TEAM);
            return Optional.of(r.body()).filter(b -> r.statusCode() == 200);
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    private static String wholeStream() {
        StringBuilder b = new StringBuilder();
        for (int i = 0; i < 8; i++) {
            b.append("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"")
                    .append(FakeEngine.token(MESSAGES, i))
                    .append("\"}}]}\n\n");
        }
        return b.append("data: [DONE]\n\n").toString();
    }

    private void awaitServing(String entry) {
        d.await(entry + " serves", () -> {
            try {
                return d.verdict(d.checkTurn(entry)).equals("completed");
            } catch (IOException e) {
                return false;
            }
        });
    }

    /** Starts callers that book one key each and ask again through the other entry until it completed. */
    private List<CompletableFuture<List<String>>> bookings(int count) {
        List<CompletableFuture<List<String>>> callers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String key = "key" + i;
            callers.add(CompletableFuture.supplyAsync(() -> {
                List<String> verdicts = new ArrayList<>();
                for (int ask = 0; ask < 3 && !verdicts.contains("completed"); ask++) {
                    verdicts.add(d.verdict(bookQuietly("entry" + (1 + ask % 2), key)));
                }
                return verdicts;
            }));
        }
        return callers;
    }

    private void checkBookings(List<CompletableFuture<List<String>>> callers) {
        for (int i = 0; i < callers.size(); i++) {
            List<String> verdicts = callers.get(i).join();
            int ran = runs().getOrDefault("key" + i, 0);
            assertTrue(ran <= 1, "key" + i + " ran " + ran + " times: " + verdicts);
            boolean saidToHaveRun = verdicts.contains("completed") || verdicts.contains("may-have-run");
            assertTrue(saidToHaveRun || ran == 0, "key" + i + " ran, yet callers were told " + verdicts);
            assertTrue(ran == 1 || !verdicts.contains("completed"), "key" + i + " did not run: " + verdicts);
        }
    }

    private HttpResponse<String> bookQuietly(String entry, String key) {
        try {
            return d.book(entry, key);
        } catch (IOException e) {
            throw new IllegalStateException("the entry broke the connection off", e);
        }
    }

    private Map<String, Integer> runs() {
        try {
            String json = d.send("GET", "booking", "/fake/runs", "", Map.of()).body();
            Map<String, Integer> runs = new TreeMap<>();
            new ObjectMapper()
                    .readTree(json)
                    .properties()
                    .forEach(e -> runs.put(e.getKey(), e.getValue().asInt()));
            return runs;
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private String metric(String process, String name) {
        try {
            return d.send("GET", process + "-admin", "/metrics", "", Map.of())
                    .body()
                    .lines()
                    .filter(l -> l.startsWith(name + " "))
                    .map(l -> l.substring(name.length() + 1))
                    .findFirst()
                    .orElse("");
        } catch (IOException e) {
            return "";
        }
    }
}
