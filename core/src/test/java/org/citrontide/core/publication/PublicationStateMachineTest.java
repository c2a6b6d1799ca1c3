package org.citrontide.core.publication;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

/** Runs single and concurrent publications against a fake store that loses responses. */
final class PublicationStateMachineTest {
    private static final String ROSTER = file("roster", 100);
    private static final String BOOKING = file("booking", 100);

    private final FakeHeadStore store = new FakeHeadStore();

    @Test
    void concurrentPublicationsOfDisjointFilesBothSucceed() {
        PublicationStateMachine a = machine("a", "roster.toml", ROSTER);
        PublicationStateMachine b = machine("b", "booking.toml", BOOKING);
        PublicationAction afterRead = a.handle(store.execute(a.start()));
        assertEquals(new PublicationResult.Published(1), finish(b, b.start()));
        assertEquals(new PublicationResult.Published(2), finish(a, afterRead));
        assertEquals(2, store.head.files().size());
    }

    @Test
    void concurrentChangeOfTheSameFileIsAConflict() {
        PublicationStateMachine a = machine("a", "roster.toml", ROSTER);
        PublicationStateMachine b = machine("b", "roster.toml", file("roster", 200));
        PublicationAction afterRead = a.handle(store.execute(a.start()));
        finish(b, b.start());
        assertEquals(new PublicationResult.Conflict("roster.toml", "b"), finish(a, afterRead));
        assertEquals(1, store.head.version());
    }

    @Test
    void headWriteWithLostResponseIsRecognisedByItsId() {
        store.headResponsesToLose = 1;
        PublicationStateMachine a = machine("a", "roster.toml", ROSTER);
        assertEquals(new PublicationResult.Published(1), finish(a, a.start()));
        assertEquals(1, store.head.version());
    }

    @Test
    void repeatedPublicationCreatesNoVersion() {
        PublicationStateMachine a = machine("a", "roster.toml", ROSTER);
        finish(a, a.start());
        PublicationStateMachine b = machine("b", "roster.toml", ROSTER);
        assertEquals(new PublicationResult.Unchanged(1), finish(b, b.start()));
    }

    @Test
    void unreachableStoreReportsWhetherThePublicationMayHaveTakenEffect() {
        store.down = true;
        PublicationStateMachine a = machine("a", "roster.toml", ROSTER);
        assertEquals(new PublicationResult.Unreachable(false), finish(a, a.start()));
        store.down = false;
        store.headResponsesToLose = 1;
        store.downAfterLoss = true;
        PublicationStateMachine b = machine("b", "roster.toml", ROSTER);
        assertEquals(new PublicationResult.Unreachable(true), finish(b, b.start()));
    }

    @Test
    void filesThatContradictThoseInForceAreRejected() {
        PublicationStateMachine a = machine("a", "roster.toml", ROSTER);
        finish(a, a.start());
        PublicationStateMachine b = machine("b", "again.toml", ROSTER);
        assertInstanceOf(PublicationResult.Invalid.class, finish(b, b.start()));
        assertEquals(1, store.head.version());
    }

    @Test
    void interleavedPublicationsNeverOverwriteEachOther() {
        for (long seed = 0; seed < 300; seed++) {
            interleave(new SplittableRandom(seed));
        }
    }

    /** Interleaves two publications of a shared file and a file each, in random order and with lost responses. */
    private static void interleave(SplittableRandom random) {
        FakeHeadStore s = new FakeHeadStore();
        List<PublicationStateMachine> machines = new ArrayList<>();
        List<PublicationAction> next = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            Map<String, Optional<String>> changes = new HashMap<>();
            changes.put("shared.toml", Optional.of(file("shared", 100 + i)));
            changes.put("own" + i + ".toml", Optional.of(file("own" + i, 100)));
            machines.add(new PublicationStateMachine("p" + i, changes));
            next.add(machines.get(i).start());
        }
        while (next.stream().anyMatch(a -> !(a instanceof PublicationAction.Finish))) {
            int i = random.nextInt(2);
            if (next.get(i) instanceof PublicationAction.Finish) {
                continue;
            }
            s.headResponsesToLose = random.nextInt(4) == 0 ? 1 : 0;
            next.set(i, machines.get(i).handle(s.execute(next.get(i))));
        }
        int published = 0;
        for (int i = 0; i < 2; i++) {
            PublicationResult r = ((PublicationAction.Finish) next.get(i)).result();
            boolean inForce = s.head.files().containsKey("own" + i + ".toml");
            assertEquals(r instanceof PublicationResult.Published, inForce, r.toString());
            published += inForce ? 1 : 0;
        }
        assertEquals(published, s.head.version());
    }

    private PublicationResult finish(PublicationStateMachine m, PublicationAction first) {
        PublicationAction action = first;
        while (!(action instanceof PublicationAction.Finish)) {
            action = m.handle(store.execute(action));
        }
        return ((PublicationAction.Finish) action).result();
    }

    private static PublicationStateMachine machine(String id, String name, String text) {
        return new PublicationStateMachine(id, Map.of(name, Optional.of(text)));
    }

    private static String file(String service, int timeout) {
        return "kind = \"plain\"\nservice = \"" + service + "\"\n[[calls]]\npath = \"/\"\n[limits]\ntimeout_ms = "
                + timeout + "\n";
    }

    private static final class FakeHeadStore {
        private final Map<String, String> files = new HashMap<>();
        private Head head = Head.EMPTY;
        private long revision;
        private int headResponsesToLose;
        private boolean down;
        private boolean downAfterLoss;

        private PublicationEvent execute(PublicationAction action) {
            if (down) {
                return new PublicationEvent.CallFailed(false);
            }
            return switch (action) {
                case PublicationAction.ReadHead r -> new PublicationEvent.HeadRead(revision, head);
                case PublicationAction.ReadFile r -> new PublicationEvent.FileRead(r.hash(), files.get(r.hash()));
                case PublicationAction.WriteFile w -> {
                    files.put(w.hash(), w.text());
                    yield new PublicationEvent.FileWritten(w.hash());
                }
                case PublicationAction.WriteHead w -> writeHead(w);
                case PublicationAction.Finish f -> throw new IllegalStateException();
            };
        }

        private PublicationEvent writeHead(PublicationAction.WriteHead w) {
            if (w.expectedRevision() != revision) {
                return new PublicationEvent.HeadConflict();
            }
            head = w.head();
            revision++;
            if (headResponsesToLose > 0) {
                headResponsesToLose--;
                down = downAfterLoss;
                return new PublicationEvent.CallFailed(true);
            }
            return new PublicationEvent.HeadWritten();
        }
    }
}
