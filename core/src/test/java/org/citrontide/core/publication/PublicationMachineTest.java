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

/** Drives publications against a small store, alone and against each other, with answers lost. */
final class PublicationMachineTest {
    private static final String ROSTER = file("roster", 100);
    private static final String BOOKING = file("booking", 100);

    private final FakeHeadStore store = new FakeHeadStore();

    @Test
    void disjointFilesRebaseByThemselves() {
        PublicationMachine a = machine("a", "roster.toml", ROSTER);
        PublicationMachine b = machine("b", "booking.toml", BOOKING);
        PublicationAction afterRead = a.on(store.carryOut(a.start()));
        assertEquals(new PublicationResult.Published(1), finish(b, b.start()));
        assertEquals(new PublicationResult.Published(2), finish(a, afterRead));
        assertEquals(2, store.head.files().size());
    }

    @Test
    void sameFileIsConflictThatNamesTheRivalAndChangesNothing() {
        PublicationMachine a = machine("a", "roster.toml", ROSTER);
        PublicationMachine b = machine("b", "roster.toml", file("roster", 200));
        PublicationAction afterRead = a.on(store.carryOut(a.start()));
        finish(b, b.start());
        assertEquals(new PublicationResult.Conflict("roster.toml", "b"), finish(a, afterRead));
        assertEquals(1, store.head.version());
    }

    @Test
    void lostAnswerIsSettledByTheId() {
        store.loseHeadAnswers = 1;
        PublicationMachine a = machine("a", "roster.toml", ROSTER);
        assertEquals(new PublicationResult.Published(1), finish(a, a.start()));
        assertEquals(1, store.head.version());
    }

    @Test
    void repeatedPublicationMakesNoVersion() {
        PublicationMachine a = machine("a", "roster.toml", ROSTER);
        finish(a, a.start());
        PublicationMachine b = machine("b", "roster.toml", ROSTER);
        assertEquals(new PublicationResult.Unchanged(1), finish(b, b.start()));
    }

    @Test
    void unreachableStoreIsSaidWithWhetherItMayHaveTakenEffect() {
        store.down = true;
        PublicationMachine a = machine("a", "roster.toml", ROSTER);
        assertEquals(new PublicationResult.Unreachable(false), finish(a, a.start()));
        store.down = false;
        store.loseHeadAnswers = 1;
        store.downAfterLoss = true;
        PublicationMachine b = machine("b", "roster.toml", ROSTER);
        assertEquals(new PublicationResult.Unreachable(true), finish(b, b.start()));
    }

    @Test
    void filesThatContradictThoseInForceAreRefused() {
        PublicationMachine a = machine("a", "roster.toml", ROSTER);
        finish(a, a.start());
        PublicationMachine b = machine("b", "again.toml", ROSTER);
        assertInstanceOf(PublicationResult.Invalid.class, finish(b, b.start()));
        assertEquals(1, store.head.version());
    }

    @Test
    void interleavedOperatorsNeverOverwriteEachOther() {
        for (long seed = 0; seed < 300; seed++) {
            interleave(new SplittableRandom(seed));
        }
    }

    /** Two operators change one shared file and one of their own, in a random order of calls, with lost answers. */
    private static void interleave(SplittableRandom random) {
        FakeHeadStore s = new FakeHeadStore();
        List<PublicationMachine> machines = new ArrayList<>();
        List<PublicationAction> next = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            Map<String, Optional<String>> changes = new HashMap<>();
            changes.put("shared.toml", Optional.of(file("shared", 100 + i)));
            changes.put("own" + i + ".toml", Optional.of(file("own" + i, 100)));
            machines.add(new PublicationMachine("p" + i, changes));
            next.add(machines.get(i).start());
        }
        while (next.stream().anyMatch(a -> !(a instanceof PublicationAction.Finish))) {
            int i = random.nextInt(2);
            if (next.get(i) instanceof PublicationAction.Finish) {
                continue;
            }
            s.loseHeadAnswers = random.nextInt(4) == 0 ? 1 : 0;
            next.set(i, machines.get(i).on(s.carryOut(next.get(i))));
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

    private PublicationResult finish(PublicationMachine m, PublicationAction first) {
        PublicationAction action = first;
        while (!(action instanceof PublicationAction.Finish)) {
            action = m.on(store.carryOut(action));
        }
        return ((PublicationAction.Finish) action).result();
    }

    private static PublicationMachine machine(String id, String name, String text) {
        return new PublicationMachine(id, Map.of(name, Optional.of(text)));
    }

    private static String file(String service, int timeout) {
        return "kind = \"plain\"\nservice = \"" + service + "\"\n[[calls]]\npath = \"/\"\n[limits]\ntimeout_ms = "
                + timeout + "\n";
    }

    private static final class FakeHeadStore {
        private final Map<String, String> files = new HashMap<>();
        private Head head = Head.EMPTY;
        private long revision;
        private int loseHeadAnswers;
        private boolean down;
        private boolean downAfterLoss;

        private PublicationEvent carryOut(PublicationAction action) {
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
            if (loseHeadAnswers > 0) {
                loseHeadAnswers--;
                down = downAfterLoss;
                return new PublicationEvent.CallFailed(true);
            }
            return new PublicationEvent.HeadWritten();
        }
    }
}
