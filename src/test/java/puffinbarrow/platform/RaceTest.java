package puffinbarrow.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import puffinbarrow.control.Event;
import puffinbarrow.control.Order;
import puffinbarrow.net.Link;

/**
 * Events that arrive in an unfavourable order, such as an acknowledgement before the answer that it belongs to.
 * Scripted peers on real connections force that order in every run.
 */
@Timeout(120)
class RaceTest extends ServiceFixture {
    private static final String PROXY = "event: attach\ndata: id=8&site=b&rps=2&new=0\n\n";
    private static final String SLICE =
            "event: owner\ndata: range=1&flag=1\n\nevent: entry\ndata: range=1&target=s1&rps=1\n\n";
    private static final Event JOINED = new Event.ProxyJoined(8, false, 2, 1);

    /** Makes the controller issue the orders: any relay event causes a batch, which returns the next orders. */
    private void order(Order... orders) {
        await(() -> relay.streamCount() > 0);
        queuedOrders.add(List.of(orders));
        sendEvents(relay.eventStreams.get(relay.eventStreams.size() - 1), "attach id=7&site=a&rps=1&new=1");
    }

    // ---- Repeated calls

    /** Returns the connection of a call that is still unanswered although its mark has been acknowledged. */
    private Link startAcknowledgedCall() throws Exception {
        relay.answers.clear();
        relay.answers.addAll(List.of(HOLD, accepted(1)));
        relay.snapshot = PROXY;
        start(List.of(new Order.Mask("s1", true), new Order.Mark(41, false)));
        Link call = relay.awaitHeldRequest();
        awaitEvent(JOINED);
        sendEvents(relay.eventStreams.get(0), "done id=8&seq=41&ms=1.5");
        awaitEvent(new Event.InForce(8, 41, 1_500_000));
        return call;
    }

    private void assertNextCallIsADifferentOne() throws Exception {
        order(new Order.Mask("s1", false));
        await(() -> relay.requests().size() == 2);
        assertTrue(
                relay.requests().get(1).endsWith("=restore,s1"),
                relay.requests().get(1));
    }

    @Test
    void countsAcknowledgementThatComesBeforeTheCallBreaks() throws Exception {
        startAcknowledgedCall().close();
        await(() -> counters.value("calls.broken") == 1);
        assertNextCallIsADifferentOne();
        assertEquals(1, counters.value("calls.proved"));
    }

    @Test
    void countsCallOnceIfTheAnswerFollowsTheAcknowledgement() throws Exception {
        startAcknowledgedCall().send(reply(accepted(2)));
        await(() -> counters.value("calls.taken") == 1);
        assertNextCallIsADifferentOne();
    }

    @Test
    void dropsOnlyTheRefusedOrderOfARepeatedCall() throws Exception {
        relay.answers.clear();
        relay.answers.addAll(List.of(DISCONNECT, accepted(1), accepted(1)));
        start(List.of(new Order.Mask("s1", true), new Order.SetLine(1, "s9", 1), new Order.Mask("s2", true)));
        await(() -> counters.value("calls.taken") == 2);
        assertTrue(
                relay.requests().get(2).endsWith("changes=withdraw,s2"),
                relay.requests().get(2));
        assertEquals(1, counters.value("orders.refused"));
    }

    /**
     * Orders discarded from a full queue must not count as applied, so the relay's full state is reported to the
     * controller again.
     */
    @Test
    void reportsFullStateAgainIfTheQueueOverflowsDuringACall() throws Exception {
        relay.answers.clear();
        relay.answers.add(HOLD);
        relay.snapshot = PROXY + SLICE;
        start(List.of());
        awaitEvent(new Event.StoredLine(1, "s1", 1));
        for (int i = 0; counters.value("calls.overflowed") == 0 && i < 1000; i++) {
            order(new Order.SetLine(1, "s1", 1 + i));
            await(queuedOrders::isEmpty);
        }
        awaitEvent(new Event.ProxyLeft(8));
        awaitEvent(JOINED);
        relay.answers.clear();
        relay.answers.add(accepted(1));
        await(() -> counters.value("calls.taken") >= 2);
        order(new Order.Mask("s1", true));
        await(() -> relay.requests().get(relay.requests().size() - 1).endsWith("=withdraw,s1"));
    }

    // ---- Slices and proxies that move

    /**
     * The relay may have accepted the orders while the slice belonged to another coordinator, where they have no
     * effect, or before that coordinator set its lines.
     */
    @Test
    void repeatsOrdersInFlightWhileTheirSliceWasLostAndAssignedAgain() throws Exception {
        relay.answers.clear();
        relay.answers.addAll(List.of(HOLD, accepted(1)));
        relay.snapshot = PROXY + SLICE;
        start(List.of());
        awaitEvent(new Event.StoredLine(1, "s1", 1));
        order(new Order.SetLine(1, "s2", 1));
        Link call = relay.awaitHeldRequest();
        sendEvents(
                relay.eventStreams.get(0),
                "owner range=1&flag=0",
                "owner range=1&flag=1",
                "entry range=1&target=s1&rps=1");
        relay.eventStreams.get(0).send(ascii(chunk(":\n\n")));
        awaitEvent(new Event.SliceCharge(1, false));
        awaitEvent(new Event.SliceCharge(1, true));
        call.send(reply(accepted(1)));
        await(() -> relay.requests().size() == 2);
        assertTrue(
                relay.requests().get(1).endsWith("share,1,s2,1.0"),
                relay.requests().get(1));
    }

    @Test
    void reportsBothIfAProxyLeavesAndRejoinsWithinOneRead() throws Exception {
        relay.snapshot = PROXY;
        start(List.of());
        awaitEvent(JOINED);
        sendEvents(
                relay.eventStreams.get(0),
                "detach id=8",
                "attach id=8&site=b&rps=2&new=1",
                "entry range=1&target=unknown&rps=1");
        awaitEvent(new Event.ProxyLeft(8));
        awaitEvent(new Event.ProxyJoined(8, true, 2, 1));
    }

    @Test
    void keepsTheOldStreamIfTheNewOneBreaksBeforeItSettles() throws Exception {
        relay.snapshot = PROXY;
        start(List.of());
        awaitEvent(JOINED);
        StubServer moved = new StubServer();
        moved.streamsSilent = true;
        configure(moved);
        service.reload();
        await(() -> moved.streamCount() == 1);
        sendEvents(moved.eventStreams.get(0), "attach id=3&site=a&rps=1&new=1");
        moved.streamsSilent = false;
        moved.snapshot = PROXY;
        moved.eventStreams.get(0).close();
        sendEvents(relay.eventStreams.get(0), "done id=8&seq=5&ms=1.5");
        awaitEvent(new Event.InForce(8, 5, 1_500_000));
        await(() -> moved.streamCount() == 2);
    }

    // ---- Configuration reload

    @Test
    void repeatsUnansweredCallOnceAtTheNewAddressAfterTwoReloads() throws Exception {
        relay.answers.clear();
        relay.answers.add(HOLD);
        start(List.of(new Order.Mask("s1", true)));
        Link call = relay.awaitHeldRequest();
        StubServer moved = new StubServer();
        moved.answers.add(accepted(1));
        configure(moved);
        service.reload();
        service.reload();
        await(() -> counters.value("reloads") == 2 && moved.streamCount() == 1);
        call.close();
        await(() -> counters.value("calls.taken") == 1);
        assertEquals(1, moved.requests().size());
        assertEquals(1, relay.requests().size());
    }

    @Test
    void returnsToTheFirstRelayWhileConnectingToOthers() throws Exception {
        relay.snapshot = PROXY;
        start(List.of());
        awaitEvent(JOINED);
        StubServer silent = new StubServer();
        silent.streamsSilent = true;
        configure(silent);
        service.reload();
        await(() -> silent.streamCount() == 1);
        // A listener with a full backlog: connecting to it does not complete.
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            List<SocketChannel> waiting = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                SocketChannel each = SocketChannel.open();
                each.configureBlocking(false);
                each.connect(full.getLocalSocketAddress());
                waiting.add(each);
            }
            Files.writeString(
                    folder.resolve("config.json"), configuration((InetSocketAddress) full.getLocalSocketAddress()));
            service.reload();
            await(() -> counters.value("reloads") == 2);
            configure(relay);
            service.reload();
            await(() -> relay.streamCount() == 2);
            for (SocketChannel each : waiting) {
                each.close();
            }
        }
        sendEvents(relay.eventStreams.get(1), "done id=8&seq=5&ms=1.5");
        awaitEvent(new Event.InForce(8, 5, 1_500_000));
    }

    @Test
    void readsPartlyWrittenConfigurationAgain() throws Exception {
        start(List.of());
        StubServer moved = new StubServer();
        Path file = folder.resolve("config.json");
        String complete = configuration(moved.listener.address());
        Files.writeString(file, complete.substring(0, complete.length() / 2));
        service.reload();
        await(() -> counters.value("reloads.refused") == 1);
        Files.writeString(file, complete);
        await(() -> moved.streamCount() == 1);
        assertEquals(1, counters.value("reloads"));
    }

    @Test
    void logsThatChangedSettingsNeedARestart() throws Exception {
        start(List.of());
        StubServer moved = new StubServer();
        Files.writeString(
                folder.resolve("config.json"),
                configuration(moved.listener.address()).replace("\"Ranges\":4", "\"Ranges\":5"));
        service.reload();
        await(() -> moved.streamCount() == 1);
        assertEquals(1, counters.value("reloads.settings_kept"));
    }

    // ---- Watching the server list

    private static String list(int generation, boolean complete, String id, String state) {
        return "{\"generation\":" + generation + ",\"reset\":" + complete + ",\"instances\":["
                + ENTRY.replace("\"s1\"", "\"" + id + "\"").replace("SERVING", state) + "]}";
    }

    private static Event listEvent(Event.ListKind kind, String id, Event.Listed state) {
        return new Event.ServerList(kind, List.of(new Event.Entry(id, 0, 0, 3, state, 1.5, 0)));
    }

    @Test
    void acceptsLowerGenerationOfARestartedDiscovery() throws Exception {
        discovery.answers.clear();
        discovery.answers.addAll(List.of(list(9, true, "s1", "SERVING"), list(3, true, "s2", "SERVING"), NO_ANSWER));
        start(List.of(new Order.Follow(true)));
        awaitEvent(listEvent(Event.ListKind.WHOLE, "s1", Event.Listed.READY));
        awaitEvent(listEvent(Event.ListKind.WHOLE, "s2", Event.Listed.READY));
        await(() -> discovery.requests().size() == 3);
        assertTrue(
                discovery.requests().get(2).contains("from=3&"),
                discovery.requests().get(2));
    }

    @Test
    void requestsWholeListIfChangesHaveALowerGeneration() throws Exception {
        discovery.answers.clear();
        discovery.answers.addAll(List.of(
                list(9, true, "s1", "SERVING"),
                list(3, false, "s2", "SERVING"),
                list(3, true, "s3", "SERVING"),
                NO_ANSWER));
        start(List.of(new Order.Follow(true)));
        awaitEvent(listEvent(Event.ListKind.WHOLE, "s1", Event.Listed.READY));
        awaitEvent(listEvent(Event.ListKind.WHOLE, "s3", Event.Listed.READY));
        assertEquals("/api/targets", discovery.requests().get(2));
    }

    @Test
    void requestsWholeListAgainIfTheFetchedOneIsOutdated() throws Exception {
        discovery.answers.clear();
        discovery.answers.addAll(
                List.of(HOLD, list(9, true, "s1", "SERVING"), HOLD, list(9, true, "s4", "SERVING"), NO_ANSWER));
        start(List.of(new Order.FetchList()));
        Link fetch = discovery.awaitHeldRequest();
        order(new Order.Follow(true));
        awaitEvent(listEvent(Event.ListKind.WHOLE, "s1", Event.Listed.READY));
        discovery.awaitHeldRequest();
        fetch.send(reply(list(7, true, "s0", "SERVING")));
        awaitEvent(listEvent(Event.ListKind.WHOLE, "s4", Event.Listed.READY));
    }

    @Test
    void reportsBothIfABackendIsDeletedAndListedAgain() throws Exception {
        discovery.answers.clear();
        discovery.answers.addAll(List.of(
                list(9, true, "s1", "SERVING"),
                list(10, false, "s1", "DELETED"),
                list(11, false, "s1", "SERVING"),
                NO_ANSWER));
        start(List.of(new Order.Follow(true)));
        awaitEvent(listEvent(Event.ListKind.PATCH, "s1", Event.Listed.GONE));
        awaitEvent(listEvent(Event.ListKind.PATCH, "s1", Event.Listed.READY));
    }

    // ---- Kept connections

    @Test
    void repeatsWatchRequestIfTheKeptConnectionClosesAtItsUse() throws Exception {
        discovery.answers.clear();
        discovery.answers.addAll(
                List.of(list(9, true, "s1", "SERVING"), DISCONNECT, list(10, false, "s1", "DRAINING"), NO_ANSWER));
        start(List.of(new Order.Follow(true)));
        awaitEvent(listEvent(Event.ListKind.PATCH, "s1", Event.Listed.DRAINING));
        assertTrue(
                discovery.requests().get(1).contains("from=9&"),
                discovery.requests().get(1));
        assertEquals(0, counters.value("discovery.failed"));
    }

    @Test
    void reportsFailureWithoutRepeatIfTheConnectionClosesMidAnswer() throws Exception {
        discovery.answers.clear();
        discovery.answers.addAll(List.of(list(9, true, "s1", "SERVING"), HOLD, NO_ANSWER));
        start(List.of(new Order.Follow(true)));
        Link watch = discovery.awaitHeldRequest();
        watch.send(ascii("HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\n{\"gen"));
        watch.closeWhenSent();
        awaitEvent(new Event.ServerList(Event.ListKind.BROKEN, List.of()));
        assertEquals(2, discovery.requests().size());
    }

    @Test
    void doesNotReadExtraBytesAfterAnAnswerAsTheNextAnswer() throws Exception {
        relay.answers.clear();
        relay.answers.add(HOLD);
        relay.snapshot = PROXY;
        start(List.of(new Order.Mask("s1", true)));
        Link first = relay.awaitHeldRequest();
        awaitEvent(JOINED);
        first.send(ascii("HTTP/1.1 200 OK\r\ncontent-length: " + accepted(1).length() + "\r\n\r\n" + accepted(1)
                + "HTTP/1.1 200 OK\r\ncontent-length: 900\r\n\r\n<?xml "));
        await(() -> counters.value("calls.taken") == 1);
        order(new Order.Mask("s1", false));
        assertNotSame(first, relay.awaitHeldRequest());
    }

    @Test
    void leaksNoDescriptorsIfConnectionsCloseAfterEachAnswer() throws Exception {
        discovery.answers.clear();
        discovery.answers.add(HOLD);
        start(List.of(new Order.Follow(true)));
        discovery.awaitHeldRequest().send(reply(list(9, true, "s1", "SERVING")));
        UnixOperatingSystemMXBean system = (UnixOperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        awaitEvent(listEvent(Event.ListKind.WHOLE, "s1", Event.Listed.READY));
        Link watch = discovery.awaitHeldRequest();
        long before = system.getOpenFileDescriptorCount();
        for (int i = 0; i < 500; i++) {
            watch.send(reply(list(10 + i, false, "s1", "SERVING")));
            watch.closeWhenSent();
            awaitEvent(listEvent(Event.ListKind.PATCH, "s1", Event.Listed.READY));
            // The next request may find the old connection closing or closed; in both cases it comes over a new one.
            Link next = discovery.awaitHeldRequest();
            watch = next.ended() ? discovery.awaitHeldRequest() : next;
        }
        await(() -> system.getOpenFileDescriptorCount() <= before + 8);
        assertEquals(0, counters.value("discovery.failed"));
    }

    // ---- Startup

    @Test
    void answersHeartbeatsOnlyAfterTheFirstDecision() throws Exception {
        start(List.of(new Order.Log("first decision")));
        assertTrue(connect(message("hb")).getInputStream().read() >= 0);
        // The service accepts clients before it logs that it is ready.
        await(() -> logLines().size() > 1);
        List<String> lines = logLines().stream()
                .map(line -> line.substring(line.indexOf(' ') + 1))
                .toList();
        assertEquals(0, lines.indexOf("decision first decision"), lines.toString());
        assertTrue(lines.get(1).startsWith("ready "), lines.toString());
    }

    @Test
    void losesNoReportOfAFloodDuringStartup() throws Exception {
        CountDownLatch flooded = new CountDownLatch(1);
        start(List.of());
        service.execute(() -> {
            try {
                flooded.await();
            } catch (InterruptedException interrupted) {
                throw new IllegalStateException(interrupted);
            }
        });
        Socket collector = connect(message("telemetry", "site", "a"));
        byte[] report = message("range_stats", "range", "1", "lane", "x", "count", "1", "fail", "0", "over", "1000");
        for (int i = 0; i < 9000; i++) {
            collector.getOutputStream().write(report);
            if (counters.value("inbox.overflows") > 0) {
                break;
            }
        }
        collector
                .getOutputStream()
                .write(message("range_stats", "range", "2", "lane", "x", "count", "1", "fail", "0", "over", "1000"));
        await(() -> counters.value("inbox.overflows") > 0);
        flooded.countDown();
        awaitEvent(new Event.SliceDemand(2, 0, 1, 0, 1_000_000_000));
    }
}
