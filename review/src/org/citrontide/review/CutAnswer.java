package org.citrontide.review;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

/**
 * A worker begins an answer without a length before it has read the whole request, and its connection is reset before
 * the answer is whole. Without the trouble the same worker completes the same answer and reads the rest of the request.
 */
final class CutAnswer {
    private static final int REQUESTS = 360;
    private static final int SPOILED_EVERY = 50;
    private static final int FIRST_SPOILED = 20;
    private static final int BODY_BYTES = 4_100_000;
    private static final int RECEIVE_BUFFER = 8 * 1024;
    private static final int READ_BEFORE_ANSWER = 16 * 1024;
    private static final String FIRST_HALF = "turn 17 at the north headgate: opens at 05:40, ".repeat(9);
    private static final String SECOND_HALF = "closes at 06:10, and not before the Ashworths' turn. ".repeat(8);

    private CutAnswer() {}

    static int play(World world) throws IOException {
        AtomicReference<String> faulty = new AtomicReference<>();
        for (String id : List.of("w-a", "w-b", "w-c")) {
            AtomicInteger count = new AtomicInteger();
            world.worker(id, "turnbook", RECEIVE_BUFFER, call -> {
                int number = count.incrementAndGet();
                boolean isTurn = number % SPOILED_EVERY == FIRST_SPOILED;
                // The first worker that gets so many requests is the faulty one.
                if (isTurn && (faulty.compareAndSet(null, id) || id.equals(faulty.get()))) {
                    spoil(world, id, call);
                } else {
                    call.complete(FIRST_HALF + SECOND_HALF);
                }
            });
        }
        world.configure(List.of(World.route("book", "unsafe", "turnbook", 4000, "")), List.of("turnbook"));
        Gateway gateway = world.readyGateway("front-1");
        int wrong = countWrong(world, gateway);
        world.recordLogs();
        world.record.result("MIXED: %d of %d requests got a success whose body is not the worker's", wrong, REQUESTS);
        return wrong > 0 ? World.BROKEN : World.HELD;
    }

    private static int countWrong(World world, Gateway gateway) throws IOException {
        int wrong = 0;
        byte[] body = new byte[BODY_BYTES];
        for (int i = 1; i <= REQUESTS; i++) {
            String id = "c" + i;
            try (Caller caller = new Caller(gateway.callerPort, 6000)) {
                caller.send("POST", "/book/turn", id, 4000, body, "");
                Caller.Answer answer = caller.read();
                boolean isWhole = new String(answer.body()).equals(FIRST_HALF + SECOND_HALF);
                boolean isWrong = answer.status() / 100 == 2 && answer.end() == Caller.End.COMPLETE && !isWhole;
                wrong += isWrong ? 1 : 0;
                world.record.line("client: %s got %s%s", id, answer.text(), isWrong ? " WRONG" : "");
            }
        }
        return wrong;
    }

    private static void spoil(World world, String id, Worker.Call call) throws IOException, InterruptedException {
        call.readBody(READ_BEFORE_ANSWER);
        world.record.line("worker %s: runs %s and answers before the request is read", id, call.id());
        call.head("200 OK", "Connection: close\r\n");
        call.write(FIRST_HALF);
        Thread.sleep(100);
        if (world.hasTrouble) {
            world.record.line("worker %s: the connection of %s is reset", id, call.id());
            call.reset();
            return;
        }
        call.write(SECOND_HALF);
        call.readBody(Long.MAX_VALUE);
        world.record.line("worker %s: the answer to %s is whole", id, call.id());
        call.socket.close();
    }
}
