package org.citrontide.gateway.upstream;

import java.io.ByteArrayOutputStream;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

final class ResponseBodyTest {
    private static final int SEEDS = 50;
    private static final int MAX_EXCESS_BYTES = 32 * 1024;

    @Test
    void keepsAllBytesWithLittleMemoryBesideThem() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            ResponseBody body = new ResponseBody();
            ByteArrayOutputStream expected = new ByteArrayOutputStream();
            int memory = 0;
            int maxPart = 1 << random.nextInt(17);
            for (int i = 0; i < 200; i++) {
                byte[] part = new byte[random.nextInt(maxPart)];
                random.nextBytes(part);
                memory += body.append(part);
                expected.writeBytes(part);
                assertEquals(expected.size(), body.size());
                assertTrue(memory <= body.size() + MAX_EXCESS_BYTES, "seed " + seed);
            }
            assertArrayEquals(expected.toByteArray(), body.toByteArray(), "seed " + seed);
        }
    }
}
