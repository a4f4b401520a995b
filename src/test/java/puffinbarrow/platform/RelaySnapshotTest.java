package puffinbarrow.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import puffinbarrow.control.Event;
import puffinbarrow.control.Order;
import puffinbarrow.net.HttpParser;
import puffinbarrow.wire.Facts;

/** What the relay's news becomes for the decisions, with gaps in it and orders on the way. */
class RelaySnapshotTest {
    private static final Facts.Names NAMES =
            new Facts.Names(List.of("a", "b"), List.of("m"), List.of("x", "y"), 10, 10);

    private final RelaySnapshot snapshot =
            new RelaySnapshot(new PlatformCodec(NAMES, new PlatformCodec.ClockOffset(0, 0)));
    private final List<Event> out = new ArrayList<>();

    private void news(String... events) {
        read(new ServerSentEventParser(n -> snapshot.apply(n.type(), n.fields(), out)), events);
    }

    /** A stream of news that begins so, and settles. */
    private void opening(List<Order> onTheWay, boolean anew, String... events) {
        RelaySnapshot.InitialState opening = snapshot.new InitialState();
        read(new ServerSentEventParser(n -> opening.apply(n.type(), n.fields(), out)), events);
        assertEquals(List.of(), out, "nothing is told before it is whole");
        opening.commit(onTheWay, anew, out);
    }

    private static void read(ServerSentEventParser stream, String... events) {
        for (String event : events) {
            int space = event.indexOf(' ');
            stream.feed(ByteBuffer.wrap(
                    ("event: " + event.substring(0, space) + "\ndata: " + event.substring(space + 1) + "\n\n")
                            .getBytes(StandardCharsets.UTF_8)));
        }
    }

    private List<Event> taken() {
        List<Event> all = List.copyOf(out);
        out.clear();
        return all;
    }

    private static final Event JOINED = new Event.ProxyJoined(7, true, 21.5, 1);

    @BeforeEach
    void oneProxyAndTwoSlicesStand() {
        opening(
                List.of(),
                true,
                "attach id=7&site=b&rps=21.5&new=1",
                "owner range=1&flag=1",
                "owner range=2&flag=1",
                "entry range=1&target=s1&rps=1.0",
                "entry range=2&target=s2&rps=1.0");
        assertEquals(
                List.of(
                        JOINED,
                        new Event.SliceCharge(1, true),
                        new Event.StoredLine(1, "s1", 1),
                        new Event.SliceCharge(2, true),
                        new Event.StoredLine(2, "s2", 1)),
                taken());
    }

    @Test
    void aSliceGivenLaterIsToldWithItsLines() {
        news("owner range=3&flag=1", "entry range=3&target=s3&rps=0.5");
        assertEquals(List.of(), taken());
        snapshot.commitPendingSlices(List.of(), out);
        assertEquals(List.of(new Event.SliceCharge(3, true), new Event.StoredLine(3, "s3", 0.5)), taken());
        news("owner range=3&flag=0", "done id=7&seq=905&ms=310.4", "detach id=7");
        assertEquals(
                List.of(
                        new Event.SliceCharge(3, false),
                        new Event.InForce(7, 905, 310_400_000),
                        new Event.ProxyLeft(7)),
                taken());
    }

    @Test
    void afterAGapOnlyWhatDiffersIsToldAgain() {
        snapshot.orderAccepted(new Order.SetLine(2, "s4", 0.03));
        String[] stands = {
            "attach id=7&site=b&rps=21.5&new=1",
            "owner range=2&flag=1",
            "entry range=2&target=s2&rps=1.0",
            "entry range=2&target=s4&rps=0.0300000001"
        };
        opening(List.of(), false, stands);
        assertEquals(
                List.of(new Event.SliceCharge(1, false)),
                taken(),
                "what waits for a proxy that stayed goes on counting");
        opening(List.of(), true, stands);
        assertEquals(List.of(new Event.ProxyLeft(7), JOINED), taken());
        opening(
                List.of(),
                false,
                "owner range=2&flag=1",
                "entry range=2&target=s2&rps=1",
                "entry range=2&target=s4&rps=0.03");
        assertEquals(List.of(new Event.ProxyLeft(7)), taken());
    }

    @Test
    void ordersOnTheWayWhenAGapEndsAreNotForgotten() {
        List<Order> onTheWay =
                List.of(new Order.SetLine(1, "s5", 1), new Order.SetLine(1, "s1", 0), new Order.SetLine(2, "s5", 1));
        opening(
                onTheWay,
                false,
                "owner range=1&flag=1",
                "entry range=1&target=s1&rps=1.0",
                "owner range=2&flag=1",
                "entry range=2&target=s9&rps=1");
        assertEquals(
                List.of(
                        new Event.ProxyLeft(7),
                        new Event.SliceCharge(2, true),
                        new Event.StoredLine(2, "s5", 1),
                        new Event.StoredLine(2, "s9", 1)),
                taken());
    }

    @Test
    void newsThatCantBeIsRefused() {
        for (String wrong : List.of(
                "attach id=10&site=a&rps=1&new=1",
                "attach id=1&site=c&rps=1&new=1",
                "owner range=10&flag=1",
                "owner range=1&flag=2",
                "entry range=1&rps=1",
                "done id=1&seq=x&ms=1",
                "other id=1")) {
            assertThrows(ProtocolException.class, () -> news(wrong), wrong);
        }
    }

    @Test
    void newsComesThroughSplitAtEveryPosition() {
        String events = "event: attach\ndata: id=8&site=b&rps=2&new=0\n\n:\n\nevent: owner\ndata: range=1&flag=1\n\n";
        StringBuilder stream = new StringBuilder(
                "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n" + "transfer-encoding: chunked\r\n\r\n");
        // Borders of chunks fall anywhere too.
        for (int at = 0; at < events.length(); at += 7) {
            String chunk = events.substring(at, Math.min(events.length(), at + 7));
            stream.append(Integer.toHexString(chunk.length()))
                    .append("\r\n")
                    .append(chunk)
                    .append("\r\n");
        }
        byte[] bytes = stream.toString().getBytes(StandardCharsets.US_ASCII);
        List<ServerSentEventParser.ServerSentEvent> wanted = List.of(
                new ServerSentEventParser.ServerSentEvent(
                        "attach", Map.of("id", "8", "site", "b", "rps", "2", "new", "0")),
                ServerSentEventParser.KEEP_ALIVE,
                new ServerSentEventParser.ServerSentEvent("owner", Map.of("range", "1", "flag", "1")));
        for (int cut = 0; cut <= bytes.length; cut++) {
            List<ServerSentEventParser.ServerSentEvent> came = new ArrayList<>();
            ServerSentEventParser reader = new ServerSentEventParser(came::add);
            HttpParser parser = HttpParser.streaming(end -> {}, reader::feed);
            parser.feed(ByteBuffer.wrap(bytes, 0, cut));
            parser.feed(ByteBuffer.wrap(bytes, cut, bytes.length - cut));
            assertEquals(wanted, came, "cut at " + cut);
        }
    }
}
