package org.citrontide.dist;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

import org.citrontide.dist.Crowd.Message;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Tests a gateway process with callers that hold as much memory as its limits on requests allow.
 *
 * <p>The bounds follow from the limits of the process: the heap, the direct memory and 150 MB for code and metaspace,
 * and one descriptor for each connection of the crowd and 200 others. No test depends on the time of a response.
 */
final class GatewayMemoryTest {
    // The bodies of so many connections are six times the heap; 3,000 decoded headers of each exceed it.
    private static final int CONNECTIONS = 96;
    private static final int MAX_MEMORY_MB = GatewayProcess.HEAP_MB + GatewayProcess.DIRECT_MB + 150;
    private static final int MAX_DESCRIPTORS = CONNECTIONS + 200;
    private static final int BODY = GatewayProcess.MAX_BODY_BYTES;
    // 15.9 KB, just below the limit on heads.
    private static final int HEAD_BYTES = 16_281;
    private static final String NAME_CHARACTERS = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_`|~";
    private static final int SMALL_WRITE = 997;
    private static final int CHUNK = 64 * 1024;
    private static final byte[] LAST_CHUNK = "0\r\n\r\n".getBytes(US_ASCII);
    private static final int ENDLESS_CALLERS = 8;
    private static final Set<Integer> REFUSALS = Set.of(408, 413, 421, 429, 431, 503);

    private GatewayProcess gateway;
    private Crowd crowd;

    @BeforeEach
    void start() throws Exception {
        gateway = new GatewayProcess();
        crowd = new Crowd(gateway.callerPort());
        gateway.awaitReady();
    }

    @AfterEach
    void stop() throws Exception {
        crowd.close();
        gateway.close();
    }

    // Guards against heads whose decoded lines take many times the bytes that arrived.
    @Test
    void survivesUnterminatedHeadsOfEmptyLines() throws IOException {
        playAndCheck(0, Set.of(), List.of(new Message(emptyLines())));
    }

    // Guards against the same where no two names are equal.
    @Test
    void survivesUnterminatedHeadsOfDifferentNames() throws IOException {
        playAndCheck(0, Set.of(), List.of(new Message(differentNames())));
    }

    // Guards against decoded heads that are kept while their bodies are awaited.
    @Test
    void survivesHeadsWhoseBodyIsOneByteShort() throws IOException {
        playAndCheck(
                0, Set.of(), List.of(new Message(join(emptyLines(HEAD_BYTES - 30), "Content-Length: 2\r\n\r\nx"))));
    }

    // Guards against bodies that together exceed the heap.
    @Test
    void survivesLargeBodies() throws IOException {
        playAndCheck(0, Set.of(200), largeBodies(Integer.MAX_VALUE));
    }

    // Guards against a cost of each read in addition to its bytes.
    @Test
    void survivesLargeBodiesInSmallWrites() throws IOException {
        playAndCheck(0, Set.of(200), largeBodies(SMALL_WRITE));
    }

    // Guards against chunked bodies, whose sizes are not announced, that together exceed the heap.
    @Test
    void survivesChunkedBodies() throws IOException {
        playAndCheck(0, Set.of(200), chunkedBodies(CHUNK));
    }

    // Guards against a cost of each chunk in addition to its bytes.
    @Test
    void survivesBodiesInChunksOfOneByte() throws IOException {
        playAndCheck(0, Set.of(200), chunkedBodies(1));
    }

    // Guards against bounds on heads and on bodies that hold only for one of them at a time.
    @Test
    void survivesHeadsBesideLargeBodies() throws IOException {
        List<Message> messages = new ArrayList<>();
        for (Message body : largeBodies(Integer.MAX_VALUE)) {
            messages.add(new Message(emptyLines()));
            messages.add(body);
        }
        playAndCheck(0, Set.of(200), messages);
    }

    // Guards against memory that a closed connection still holds when its caller is back.
    @Test
    void survivesLargeBodiesOfCallersThatReconnect() throws IOException {
        playAndCheck(4 * CONNECTIONS, Set.of(200), largeBodies(Integer.MAX_VALUE));
    }

    // Guards against memory taken by callers that have no key, or whose target has no route.
    @Test
    void survivesLargeBodiesWithoutKeyOrRoute() throws IOException {
        List<Message> messages = new ArrayList<>();
        for (String route : List.of("look", "nowhere")) {
            for (String authorization : List.of("", "Authorization: Bearer key-2\r\n")) {
                messages.addAll(largeBodies(GatewayProcess.requestLine(route, authorization), Integer.MAX_VALUE));
            }
        }
        playAndCheck(0, Set.of(401, 404), messages);
    }

    // Guards against responses that take the memory in addition to the requests.
    @Test
    void survivesLargeBodiesBesideEndlessResponses() throws IOException {
        List<Socket> sockets = new ArrayList<>();
        try {
            for (int i = 0; i < ENDLESS_CALLERS; i++) {
                Socket s = new Socket();
                sockets.add(s);
                s.setReceiveBufferSize(8 * 1024);
                s.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), gateway.callerPort()));
                s.getOutputStream()
                        .write((GatewayProcess.requestLine(i % 2 == 0 ? "endless" : "stream")
                                        + "Content-Length: 0\r\n\r\n")
                                .getBytes(US_ASCII));
            }
            playAndCheck(0, Set.of(200), largeBodies(Integer.MAX_VALUE));
        } finally {
            for (Socket s : sockets) {
                s.close();
            }
        }
    }

    // Guards against bounds that refuse a single request within the limits.
    @Test
    void servesOneLegalRequestOfEachKindInCalm() throws IOException {
        String lengthHead = GatewayProcess.requestLine("look") + "Content-Length: " + BODY + "\r\n\r\n";
        byte[] body = join(lengthHead.getBytes(US_ASCII), "x".repeat(BODY).getBytes(US_ASCII));
        byte[] lines = (GatewayProcess.requestLine("look") + "a:\r\n".repeat(4000) + "\r\n").getBytes(US_ASCII);
        assertTrue(lines.length <= GatewayProcess.MAX_HEADER_BYTES, "head of " + lines.length + " bytes");
        List<Message> messages = List.of(
                new Message(lines),
                new Message(body),
                new Message(body, SMALL_WRITE),
                new Message(join(chunkedHead(), chunks(BODY, CHUNK), LAST_CHUNK)),
                new Message(join(chunkedHead(), chunks(BODY, 1), LAST_CHUNK)));
        for (int i = 0; i < messages.size(); i++) {
            crowd.play(1, 0, List.of(messages.get(i)));
            crowd.awaitResponses(i + 1);
            String request = "request " + i + ", ";
            assertEquals(Set.of(200), crowd.statuses(), () -> request + stateOfGateway());
            assertEquals(i + 1, crowd.responses(), () -> request + stateOfGateway());
            assertEquals(
                    i == 0 ? 0 : BODY, gateway.upstream.requests().get(i).body().length());
        }
    }

    private void playAndCheck(int reconnections, Set<Integer> otherStatuses, List<Message> messages)
            throws IOException {
        crowd.play(CONNECTIONS, reconnections, messages);
        String seen = crowd.summary();
        assertTrue(gateway.isAlive(), () -> seen + ", " + stateOfGateway());
        long descriptors = gateway.openDescriptors();
        int status = gateway.ordinaryRequestStatus();
        crowd.readResponses();
        assertTrue(gateway.isAlive(), () -> seen + ", " + stateOfGateway());
        assertEquals(200, status, () -> seen + ", " + stateOfGateway());
        long memory = gateway.peakMemoryMb();
        assertTrue(memory < MAX_MEMORY_MB, () -> memory + " MB, " + seen);
        assertTrue(descriptors < MAX_DESCRIPTORS, () -> descriptors + " descriptors, " + seen);
        Set<Integer> unexpected = new TreeSet<>(crowd.statuses());
        unexpected.removeAll(REFUSALS);
        unexpected.removeAll(otherStatuses);
        assertEquals(Set.of(), unexpected, seen);
    }

    private String stateOfGateway() {
        try {
            return gateway.state();
        } catch (IOException | InterruptedException e) {
            return e.toString();
        }
    }

    private static List<Message> largeBodies(int writeSize) {
        return largeBodies(GatewayProcess.requestLine("look"), writeSize);
    }

    /** Returns requests of which most announce the largest legal body and stop one byte short, and one is complete. */
    private static List<Message> largeBodies(String headStart, int writeSize) {
        String body = "x".repeat(BODY - 1);
        String incomplete = headStart + "Content-Length: " + BODY + "\r\n\r\n" + body;
        String complete = headStart + "Content-Length: " + (BODY - 1) + "\r\n\r\n" + body;
        Message m = new Message(incomplete.getBytes(US_ASCII), writeSize);
        return List.of(m, m, m, new Message(complete.getBytes(US_ASCII), writeSize));
    }

    /** Returns chunked requests of which most stop one byte short of the largest legal body, and one is complete. */
    private static List<Message> chunkedBodies(int chunkSize) {
        byte[] incomplete = join(chunkedHead(), chunks(BODY - 1, chunkSize));
        Message m = new Message(incomplete);
        return List.of(m, m, m, new Message(join(incomplete, LAST_CHUNK)));
    }

    private static byte[] emptyLines() {
        return emptyLines(HEAD_BYTES);
    }

    private static byte[] emptyLines(int maxBytes) {
        StringBuilder b = new StringBuilder(GatewayProcess.requestLine("look"));
        while (b.length() + 4 <= maxBytes) {
            b.append("a:\r\n");
        }
        return b.toString().getBytes(US_ASCII);
    }

    /** Returns lines with the shortest names that are different whatever their case. */
    private static byte[] differentNames() {
        StringBuilder b = new StringBuilder(GatewayProcess.requestLine("look"));
        int radix = NAME_CHARACTERS.length();
        for (int i = 0; b.length() + 6 <= HEAD_BYTES; i++) {
            for (int rest = i; rest >= 0; rest = rest / radix - 1) {
                b.append(NAME_CHARACTERS.charAt(rest % radix));
            }
            b.append(":\r\n");
        }
        return b.toString().getBytes(US_ASCII);
    }

    private static byte[] chunkedHead() {
        return (GatewayProcess.requestLine("look") + "Transfer-Encoding: chunked\r\n\r\n").getBytes(US_ASCII);
    }

    private static byte[] chunks(int bytes, int size) {
        StringBuilder b = new StringBuilder();
        for (int left = bytes; left > 0; left -= size) {
            int length = Math.min(size, left);
            b.append(Integer.toHexString(length))
                    .append("\r\n")
                    .append("x".repeat(length))
                    .append("\r\n");
        }
        return b.toString().getBytes(US_ASCII);
    }

    private static byte[] join(byte[] head, String rest) {
        return join(head, rest.getBytes(US_ASCII));
    }

    private static byte[] join(byte[]... parts) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (byte[] part : parts) {
            out.writeBytes(part);
        }
        return out.toByteArray();
    }
}
