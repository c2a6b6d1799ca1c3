package org.citrontide.runtime.eventloop;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.citrontide.runtime.log.LogSetup;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

final class OutOfMemoryExitTest {
    private static final int MEGABYTE = 1024 * 1024;

    /** A process whose periodic task takes up direct memory until there is none. */
    static final class DirectMemoryHog {
        public static void main(String[] args) {
            LogSetup.install("test", "vm1", "z1");
            List<ByteBuffer> held = new ArrayList<>();
            ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();
            Runnable task = new GuardedTask("hog", () -> held.add(ByteBuffer.allocateDirect(MEGABYTE)));
            executor.scheduleAtFixedRate(task, 0, 1, TimeUnit.MILLISECONDS);
        }
    }

    // Guards against a process that goes on without memory: the flag alone doesn't end it, as the error isn't its own.
    @Test
    void aProcessThatRunsOutOfDirectMemoryWritesOneLineAndExitsWithANonzeroCode() throws Exception {
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:+ExitOnOutOfMemoryError",
                        "-Xmx32m",
                        "-XX:MaxDirectMemorySize=8m",
                        "-cp",
                        System.getProperty("java.class.path"),
                        DirectMemoryHog.class.getName())
                .redirectErrorStream(true)
                .start();
        try {
            assertTrue(process.waitFor(30, TimeUnit.SECONDS), "still runs");
            assertEquals(OutOfMemoryExit.EXIT_CODE, process.exitValue());
            assertEquals(1, lines(process), "lines on memory");
        } finally {
            process.destroyForcibly();
        }
    }

    private static long lines(Process process) throws IOException {
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        return output.lines().filter(l -> l.contains("event=out-of-memory")).count();
    }

    // Guards against an exit because of another error, and an error of memory that is hidden as a cause.
    @Test
    void onlyAnErrorOfMemoryEndsTheProcess() {
        List<Integer> codes = new ArrayList<>();
        OutOfMemoryExit.check(null, codes::add);
        OutOfMemoryExit.check(new IOException("reset", new IllegalStateException()), codes::add);
        assertEquals(List.of(), codes);
        OutOfMemoryExit.check(new IOException("write", new OutOfMemoryError("direct")), codes::add);
        assertEquals(List.of(OutOfMemoryExit.EXIT_CODE), codes);
    }
}
