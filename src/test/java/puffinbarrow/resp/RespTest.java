package puffinbarrow.resp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Round trip of RESP messages through writer and reader, malformed input, and the limits on a message. */
class RespTest {
    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void readsMessagesSplitAtEveryPosition() {
        byte[] one = RespWriter.array("telemetry", "site", "hall-ä").array();
        byte[] two = RespWriter.array("x", "", "\r\n").array();
        ByteBuffer both = ByteBuffer.allocate(one.length + two.length).put(one).put(two);
        for (int cut = 0; cut <= both.capacity(); cut++) {
            List<List<String>> read = new ArrayList<>();
            RespReader reader = new RespReader(1000, read::add);
            reader.feed(both.duplicate().position(0).limit(cut));
            reader.feed(both.duplicate().position(cut).limit(both.capacity()));
            assertEquals(
                    List.of(List.of("telemetry", "site", "hall-ä"), List.of("x", "", "\r\n")), read, "cut at " + cut);
        }
    }

    @Test
    void rejectsMalformedInputAndMessagesOverTheLimit() {
        for (String invalid : List.of(
                "GET / HTTP/1.1\r\n",
                "+PING\r\n",
                "*1\r\n:5\r\n",
                "*-1\r\n",
                "*\r\n",
                "*1\r\n$-1\r\n",
                "*99999999\r\n",
                "*1\r\n$2000000000\r\n",
                "*1\r\n$101\r\n",
                "*1\r\n$2\r\nabc\r\n",
                "*1111111111111111111111",
                "*3\r\n$40\r\n" + "x".repeat(40) + "\r\n$40\r\n" + "x".repeat(40) + "\r\n$9\r\n",
                "\0\0\0")) {
            assertThrows(RespException.class, () -> new RespReader(100, m -> {}).feed(bytes(invalid)), invalid);
        }
    }

    @Test
    void appliesLimitToEachMessageAndAllowsToRaiseIt() {
        List<List<String>> read = new ArrayList<>();
        RespReader reader = new RespReader(100, read::add);
        for (int i = 0; i < 50; i++) {
            reader.feed(RespWriter.array("hb", "x".repeat(60)));
        }
        reader.limit(10_000);
        reader.feed(RespWriter.array("y".repeat(9000)));
        assertEquals(51, read.size());
    }

    /** Guards against a heap that incomplete messages of many short parts fill with several times their size. */
    @Test
    void holdsAnIncompleteMessageInAboutItsSize() {
        String half = "*1024\r\n" + "$1\r\na\r\n".repeat(580);
        RespReader reader = new RespReader(4096, message -> {});
        reader.feed(bytes(half));
        assertTrue(reader.heldBytes() <= 2 * half.length(), "held: " + reader.heldBytes());
        RespReader idle = new RespReader(100_000, message -> {});
        idle.feed(RespWriter.array("y".repeat(50_000)));
        assertTrue(idle.heldBytes() <= 1024, "held after a complete message: " + idle.heldBytes());
    }
}
