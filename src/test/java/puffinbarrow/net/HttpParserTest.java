package puffinbarrow.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Messages split at any position are parsed, and invalid or oversized ones are refused. */
class HttpParserTest {
    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String describe(HttpParser.Message m) {
        return m.first() + "|" + m.second() + "|" + m.headers() + "|" + new String(m.body(), StandardCharsets.UTF_8);
    }

    @Test
    void pipelinedRequestsAreParsedWhenSplitAtAnyPosition() {
        String text = "POST /flow HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"
                + "GET /x HTTP/1.1\nx-key:  7 \n\n"
                + "POST /c HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n3;e=1\r\nabc\r\n2\r\nde\r\n0\r\nt: 1\r\n\r\n";
        List<String> expected = List.of(
                "POST|/flow|{host=a, content-length=3}|abc",
                "GET|/x|{x-key=7}|",
                "POST|/c|{transfer-encoding=chunked}|abcde");
        for (int cut = 0; cut <= text.length(); cut++) {
            List<String> read = new ArrayList<>();
            HttpParser parser = new HttpParser(true, 100, m -> read.add(describe(m)));
            parser.feed(bytes(text.substring(0, cut)));
            parser.feed(bytes(text.substring(cut)));
            assertEquals(expected, read, "cut at " + cut);
            assertTrue(parser.idle());
        }
    }

    @Test
    void aResponseWithoutALengthEndsWithItsConnection() {
        List<String> read = new ArrayList<>();
        HttpParser parser = new HttpParser(false, 100, m -> read.add(describe(m)));
        parser.feed(bytes("HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 200 OK\r\n\r\nall of it"));
        parser.endOfInput();
        assertEquals(List.of("204|No Content|{}|", "200|OK|{}|all of it"), read);
    }

    @Test
    void invalidOrOversizedMessagesAreRefused() {
        for (String invalid : List.of(
                "nonsense\r\n",
                "GET /\r\n",
                "GET / HTTP/2\r\n",
                "GET / HTTP/1.1\r\n: x\r\n",
                "GET / HTTP/1.1\r\ncontent-length: -1\r\n\r\n",
                "GET / HTTP/1.1\r\ncontent-length: 101\r\n\r\n",
                "GET / HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n",
                "GET / HTTP/1.1\r\ntransfer-encoding: chunked\r\ncontent-length: 2\r\n\r\n",
                "GET / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nffffffff\r\n",
                "GET / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n1\r\nab\r\n",
                "GET / HTTP/1.1\r\na: \0\r\n",
                "GET /" + "x".repeat(9000))) {
            assertThrows(
                    HttpParser.Malformed.class, () -> new HttpParser(true, 100, m -> {}).feed(bytes(invalid)), invalid);
        }
    }
}
