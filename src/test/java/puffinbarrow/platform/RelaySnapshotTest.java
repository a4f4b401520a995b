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
import puffinbarrow.wire.SettingsReader;

/** Events that the relay's event stream produces for the controller, also after gaps and with orders in flight. */
class RelaySnapshotTest {
    private static final SettingsReader.Names NAMES =
            new SettingsReader.Names(List.of("a", "b"), List.of("m"), List.of("x", "y"), 10, 10);

    private final RelaySnapshot snapshot =
            new RelaySnapshot(new PlatformCodec(NAMES, new PlatformCodec.ClockOffset(0, 0)));
    private final List<Event> out = new ArrayList<>();

    /** Applies relay events, each as "TYPE DATA". */
    private void applyEvents(String... events) {
        read(new ServerSentEventParser(n -> snapshot.apply(n.type(), n.fields(), out)), events);
    }

    /** Replaces the stream by one that begins with the given events and settles. */
    private void replaceStream(List<Order> inFlight, boolean rejoinProxies, String... events) {
        RelaySnapshot.InitialState initialState = snapshot.new InitialState();
        read(new ServerSentEventParser(n -> initialState.apply(n.type(), n.fields(), out)), events);
        assertEquals(List.of(), out, "nothing is reported before the state is complete");
        initialState.commit(inFlight, rejoinProxies, out);
    }

    private static void read(ServerSentEventParser stream, String... events) {
        for (String event : events) {
            int space = event.indexOf(' ');
            stream.feed(ByteBuffer.wrap(
                    ("event: " + event.substring(0, space) + "\ndata: " + event.substring(space + 1) + "\n\n")
                            .getBytes(StandardCharsets.UTF_8)));
        }
    }

    /** Returns the events reported since the last call. */
    private List<Event> takeReported() {
        List<Event> reported = List.copyOf(out);
        out.clear();
        return reported;
    }

    private static final Event JOINED = new Event.ProxyJoined(7, true, 21.5, 1);

    @BeforeEach
    void startWithOneProxyAndTwoSlices() {
        replaceStream(
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
                takeReported());
    }

    @Test
    void reportsNewlyAssignedSliceWithItsLines() {
        applyEvents("owner range=3&flag=1", "entry range=3&target=s3&rps=0.5");
        assertEquals(List.of(), takeReported());
        snapshot.commitPendingSlices(List.of(), out);
        assertEquals(List.of(new Event.SliceCharge(3, true), new Event.StoredLine(3, "s3", 0.5)), takeReported());
        applyEvents("owner range=3&flag=0", "done id=7&seq=905&ms=310.4", "detach id=7");
        assertEquals(
                List.of(
                        new Event.SliceCharge(3, false),
                        new Event.InForce(7, 905, 310_400_000),
                        new Event.ProxyLeft(7)),
                takeReported());
    }

    @Test
    void reportsOnlyDifferencesAfterAGap() {
        snapshot.orderAccepted(new Order.SetLine(2, "s4", 0.03));
        String[] state = {
            "attach id=7&site=b&rps=21.5&new=1",
            "owner range=2&flag=1",
            "entry range=2&target=s2&rps=1.0",
            "entry range=2&target=s4&rps=0.0300000001"
        };
        replaceStream(List.of(), false, state);
        assertEquals(
                List.of(new Event.ProxyUncertain(7), new Event.SliceCharge(1, false)),
                takeReported(),
                "a proxy that may have stayed attached is not reported as having left");
        replaceStream(List.of(), true, state);
        assertEquals(List.of(new Event.ProxyLeft(7), JOINED), takeReported());
        replaceStream(
                List.of(),
                false,
                "owner range=2&flag=1",
                "entry range=2&target=s2&rps=1",
                "entry range=2&target=s4&rps=0.03");
        assertEquals(List.of(new Event.ProxyLeft(7)), takeReported());
    }

    @Test
    void countsOrdersInFlightAsAppliedAfterAGap() {
        List<Order> inFlight =
                List.of(new Order.SetLine(1, "s5", 1), new Order.SetLine(1, "s1", 0), new Order.SetLine(2, "s5", 1));
        replaceStream(
                inFlight,
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
                takeReported());
    }

    @Test
    void rejectsInvalidEvents() {
        for (String invalid : List.of(
                "attach id=10&site=a&rps=1&new=1",
                "attach id=1&site=c&rps=1&new=1",
                "owner range=10&flag=1",
                "owner range=1&flag=2",
                "entry range=1&rps=1",
                "done id=1&seq=x&ms=1",
                "other id=1")) {
            assertThrows(ProtocolException.class, () -> applyEvents(invalid), invalid);
        }
    }

    @Test
    void parsesEventsSplitAtEveryPosition() {
        String events = "event: attach\ndata: id=8&site=b&rps=2&new=0\n\n:\n\nevent: owner\ndata: range=1&flag=1\n\n";
        StringBuilder stream = new StringBuilder(
                "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n" + "transfer-encoding: chunked\r\n\r\n");
        // Chunk boundaries fall within lines, too.
        for (int at = 0; at < events.length(); at += 7) {
            String chunk = events.substring(at, Math.min(events.length(), at + 7));
            stream.append(Integer.toHexString(chunk.length()))
                    .append("\r\n")
                    .append(chunk)
                    .append("\r\n");
        }
        byte[] bytes = stream.toString().getBytes(StandardCharsets.US_ASCII);
        List<ServerSentEventParser.ServerSentEvent> expected = List.of(
                new ServerSentEventParser.ServerSentEvent(
                        "attach", Map.of("id", "8", "site", "b", "rps", "2", "new", "0")),
                ServerSentEventParser.KEEP_ALIVE,
                new ServerSentEventParser.ServerSentEvent("owner", Map.of("range", "1", "flag", "1")));
        for (int cut = 0; cut <= bytes.length; cut++) {
            List<ServerSentEventParser.ServerSentEvent> received = new ArrayList<>();
            ServerSentEventParser eventParser = new ServerSentEventParser(received::add);
            HttpParser parser = HttpParser.streaming(end -> {}, eventParser::feed);
            parser.feed(ByteBuffer.wrap(bytes, 0, cut));
            parser.feed(ByteBuffer.wrap(bytes, cut, bytes.length - cut));
            assertEquals(expected, received, "cut at " + cut);
        }
    }
}
