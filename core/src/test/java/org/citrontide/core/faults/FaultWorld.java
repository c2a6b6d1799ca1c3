package org.citrontide.core.faults;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.citrontide.core.dispatch.DispatchEvent;
import org.citrontide.core.membership.ListedVm;
import org.citrontide.core.membership.UpstreamId;
import org.citrontide.core.publication.Configuration;
import org.citrontide.core.publication.ServiceFile;
import org.citrontide.core.verdict.Reason;
import org.citrontide.core.verdict.Verdict;

/**
 * Two entries, which in half of the seeds see one sidecar each, and two sidecars around the real state machines, one
 * claim store, callers that ask again, and faults that strike one after the other at a chosen step. Everything is a
 * function of the seed.
 */
final class FaultWorld {
    private static final String FILE = """
            kind = "plain"
            service = "booking"
            [[calls]]
            path = "/"
            [limits]
            timeout_ms = 10000
            slots = 2
            queue_length = 4
            claim_window_s = 120
            retry_percent = 100
            """;
    private static final long SILENCE = 4 * EventLoop.SECOND;
    private static final long BUSY_UNTIL = 15 * EventLoop.SECOND;
    private static final long END = 400 * EventLoop.SECOND;

    final EventLoop loop;
    final Configuration configuration = Configuration.check(1, Map.of("b.toml", new Configuration.FileText(1, FILE)))
            .value()
            .orElseThrow();
    final ServiceFile service = configuration.services().get("booking");
    final FakeClaimStore store = new FakeClaimStore();
    final List<FakeSidecar> sidecars = new ArrayList<>();
    final List<FakeEntry> entries = new ArrayList<>();
    final List<String> violations = new ArrayList<>();
    int loseStoreAnswers;
    int attempts;
    final Set<String> served = new HashSet<>();
    int struck;
    boolean entriesAgree;

    private final Map<Long, Integer> runsByAsk = new HashMap<>();
    private final Map<String, Integer> runsByName = new HashMap<>();
    private final Map<Long, Verdict> verdicts = new HashMap<>();
    private final Map<String, Integer> asksByName = new HashMap<>();
    private final Map<String, Integer> linkEpoch = new HashMap<>();
    private final List<FakeEntry.Ask> asked = new ArrayList<>();
    private final Deque<Fault> armed;
    private final Step at;
    private final int skip;
    private int passed;
    private long nextAsk = 1;

    FaultWorld(long seed, List<Fault> faults, Step at) {
        loop = new EventLoop(seed);
        armed = new ArrayDeque<>(faults);
        this.at = at;
        skip = loop.random.nextInt(3);
        for (int i = 1; i <= 2; i++) {
            sidecars.add(new FakeSidecar(new UpstreamId("10.0.0." + i, i), this));
        }
        for (int i = 0; i < 2; i++) {
            FakeEntry e = new FakeEntry(i, this);
            entries.add(e);
            e.start();
        }
    }

    void run() {
        entriesAgree = loop.random.nextBoolean();
        if (!entriesAgree) {
            cut(entries.get(0), sidecars.get(0), 0);
            cut(entries.get(1), sidecars.get(1), 0);
        }
        for (int i = 0; i < 8; i++) {
            String name = "k" + i;
            boolean repeatable = i % 2 == 1;
            boolean streamed = i % 4 == 3;
            Optional<String> key = i == 2 ? Optional.empty() : Optional.of(name);
            FakeEntry e = entries.get(i % 2);
            loop.after(
                    EventLoop.SECOND + loop.random.nextLong(50 * EventLoop.MILLI),
                    () -> ask(e, name, repeatable, streamed, key));
        }
        for (long t = 0; t < END; t += t < BUSY_UNTIL ? 100 * EventLoop.MILLI : 5 * EventLoop.SECOND) {
            loop.after(t, this::tick);
        }
        loop.runUntil(END);
        check();
    }

    private void tick() {
        entries.forEach(FakeEntry::tick);
        sidecars.forEach(FakeSidecar::tick);
        sidecars.stream().filter(s -> loop.now() >= s.frozenUntil).forEach(s -> entries.forEach(s::report));
    }

    private void ask(FakeEntry e, String name, boolean repeatable, boolean streamed, Optional<String> key) {
        FakeEntry.Ask a = new FakeEntry.Ask(nextAsk++, name, repeatable, streamed, key);
        asked.add(a);
        asksByName.merge(name, 1, Integer::sum);
        e.ask(a);
    }

    /** Lets the message of a step go, and the fault strike if its moment has come. */
    void at(Step step, FakeSidecar sidecar, FakeEntry entry, Runnable message) {
        if (armed.isEmpty() || step != at || passed++ < skip) {
            message.run();
            return;
        }
        struck++;
        strike(armed.poll(), sidecar, entry, message);
    }

    private void strike(Fault f, FakeSidecar sidecar, FakeEntry entry, Runnable message) {
        switch (f) {
            case KILL_SIDECAR -> {
                message.run();
                entries.forEach(e -> cut(e, sidecar, 0));
                sidecar.start();
                entries.forEach(e -> loop.after(EventLoop.SECOND, () -> connect(e, sidecar)));
            }
            case KILL_ENTRY -> {
                message.run();
                sidecars.forEach(s -> cut(entry, s, 0));
                entry.kill();
            }
            case FREEZE_SIDECAR_A_MINUTE -> freeze(sidecar, 60 * EventLoop.SECOND, message);
            case FREEZE_SIDECAR_PAST_WINDOW -> freeze(sidecar, 200 * EventLoop.SECOND, message);
            case CUT_LINK -> {
                message.run();
                cut(entry, sidecar, loop.random.nextLong(SILENCE));
                loop.after(10 * EventLoop.SECOND, () -> connect(entry, sidecar));
            }
            case LOSE_MESSAGE -> {
                // The message is not passed on.
            }
            case DOUBLE_MESSAGE -> {
                message.run();
                message.run();
            }
            case DELAY_MESSAGE -> loop.after(loop.random.nextLong(15 * EventLoop.SECOND), message);
            case STORE_DOWN -> {
                store.down = true;
                loop.after(3 * EventLoop.SECOND, () -> store.down = false);
                message.run();
            }
            case STORE_ANSWER_LOST -> {
                loseStoreAnswers = 2;
                message.run();
            }
            case UPSTREAM_BREAKS -> {
                sidecar.upstreamBreaks = 1;
                message.run();
            }
            case DRAIN_SIDECAR -> {
                sidecar.drain();
                message.run();
            }
            default -> {
                message.run();
                List.copyOf(asked)
                        .forEach(a -> a.key()
                                .ifPresent(k -> ask(
                                        entries.get((int) (a.id() % 2)),
                                        a.name(),
                                        a.repeatable(),
                                        a.streamed(),
                                        a.key())));
            }
        }
    }

    private void freeze(FakeSidecar s, long nanos, Runnable message) {
        s.frozenUntil = loop.now() + nanos;
        entries.forEach(e -> cut(e, s, SILENCE));
        entries.forEach(e -> loop.after(nanos + EventLoop.SECOND, () -> connect(e, s)));
        message.run();
    }

    /** Breaks a link; both ends learn of it after the delay, and nothing passes from now on. */
    private void cut(FakeEntry e, FakeSidecar s, long noticed) {
        linkEpoch.merge(channel(e, s), 1, Integer::sum);
        loop.after(noticed, () -> {
            e.step(new DispatchEvent.LinkDown(s.id));
            s.linkLost(e);
        });
    }

    void connect(FakeEntry e, FakeSidecar s) {
        linkEpoch.merge(channel(e, s), 1, Integer::sum);
        e.step(new DispatchEvent.LinkUp(s.id));
        s.report(e);
    }

    void toSidecar(FakeEntry e, FakeSidecar s, Runnable message) {
        int epoch = linkEpoch.getOrDefault(channel(e, s), 0);
        loop.send("to" + channel(e, s), () -> {
            if (epoch == linkEpoch.getOrDefault(channel(e, s), 0)) {
                message.run();
            }
        });
    }

    void toEntry(FakeSidecar s, FakeEntry e, DispatchEvent event) {
        toEntry(s, e, e.starts, event);
    }

    void toEntry(FakeSidecar s, FakeEntry e, int entryStart, DispatchEvent event) {
        int epoch = linkEpoch.getOrDefault(channel(e, s), 0);
        loop.send("from" + channel(e, s), () -> {
            if (entryStart == e.starts && epoch == linkEpoch.getOrDefault(channel(e, s), 0)) {
                e.step(event);
            }
        });
    }

    private static String channel(FakeEntry e, FakeSidecar s) {
        return e.number + "-" + s.id;
    }

    List<ListedVm> listed() {
        return sidecars.stream()
                .map(s -> new ListedVm("vm" + s.id.port(), "mill-brook", "booking", s.id, false))
                .toList();
    }

    FakeSidecar sidecar(UpstreamId id) {
        return sidecars.stream().filter(s -> s.id.equals(id)).findFirst().orElseThrow();
    }

    void ran(FakeEntry.Ask a) {
        runsByAsk.merge(a.id(), 1, Integer::sum);
        runsByName.merge(a.name(), 1, Integer::sum);
    }

    void brokenOff(FakeEntry.Ask a) {
        verdicts.put(a.id(), new Verdict.MayHaveRun(Reason.CONNECTION_LOST));
        askAgain(a);
    }

    void ended(FakeEntry.Ask a, Verdict verdict, String content) {
        if (a == null) {
            violations.add("an answer for a request that has ended: " + verdict);
            return;
        }
        if (verdicts.put(a.id(), verdict) != null) {
            violations.add("a second answer for " + a);
        }
        switch (verdict) {
            case Verdict.Completed c -> {
                served.add(a.name());
                if (!content.equals(a.content())) {
                    violations.add(a + " completed with " + content);
                }
            }
            default -> askAgain(a);
        }
    }

    private void askAgain(FakeEntry.Ask a) {
        boolean mayAsk = a.repeatable() || a.key().isPresent();
        if (mayAsk && asksByName.get(a.name()) < 4) {
            FakeEntry other = entries.get((int) (a.id() % 2));
            loop.after(EventLoop.SECOND, () -> ask(other, a.name(), a.repeatable(), a.streamed(), a.key()));
        }
    }

    private void check() {
        for (FakeEntry.Ask a : asked) {
            Verdict v = verdicts.get(a.id());
            if (v == null) {
                violations.add("no answer for " + a);
                continue;
            }
            int runs = runsByAsk.getOrDefault(a.id(), 0);
            if (v instanceof Verdict.NotRun && runs > 0) {
                violations.add(a + " ran, yet was answered " + v);
            }
            if (!a.repeatable() && runs > 1) {
                violations.add(a + " ran " + runs + " times");
            }
            if (!a.repeatable() && a.key().isPresent() && runsByName.getOrDefault(a.name(), 0) > 1) {
                violations.add("key " + a.name() + " ran " + runsByName.get(a.name()) + " times");
            }
        }
    }
}
