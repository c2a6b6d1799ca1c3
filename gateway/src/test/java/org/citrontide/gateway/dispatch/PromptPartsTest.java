package org.citrontide.gateway.dispatch;

import java.util.List;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import org.citrontide.platform.PlatformHeaders;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests the parts of a prompt as read from the header fields of a request. */
final class PromptPartsTest {

    @Test
    void theLastPartIsNotShared() {
        assertEquals(List.of("5c1e", "91bd"), parse("5c1e:800, 91bd:410,e440:250"));
        assertEquals(List.of(), parse("5c1e:800"));
    }

    @Test
    void severalFieldsAreOneList() {
        assertEquals(List.of("5c1e", "91bd"), parse("5c1e:800", "91bd:410,e440:250"));
    }

    @Test
    void aMissingOrMalformedFieldNamesNoParts() {
        assertEquals(List.of(), parse());
        assertEquals(List.of(), parse("5c1e:800,:1,e440:250"));
        assertEquals(List.of(), parse("5c1e:many,e440:250"));
        assertEquals(List.of(), parse(""));
    }

    private static List<String> parse(String... values) {
        HttpHeaders headers = new DefaultHttpHeaders();
        for (String v : values) {
            headers.add(PlatformHeaders.PROMPT_PARTS, v);
        }
        return PromptParts.parseShared(headers);
    }
}
