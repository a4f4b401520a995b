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

/** What comes between two lines: scripted peers on real connections force the bad order every time. */
@Timeout(120)
class RaceTest extends ServiceFixture {
    private static final String PROXY = "event: attach\ndata: id=8&site=b&rps=2&new=0\n\n";
    private static final String SLICE =
            "event: owner\ndata: range=1&flag=1\n\nevent: entry\ndata: range=1&target=s1&rps=1\n\n";
    private static final Event JOINED = new Event.ProxyJoined(8, false, 2, 1);

    /** Any piece of news makes a batch, and a batch makes the next orders. */
    private void order(Order... orders) {
        toOrder.add(List.of(orders));
        tell(relay.news.get(relay.news.size() - 1), "attach id=7&site=a&rps=1&new=1");
    }

    // ---- Repeated attempts.

    /** A call that is out and has no answer yet, though its mark has come back. */
    private Link callThatItsMarkProved() throws Exception {
        relay.answers.clear();
        relay.answers.addAll(List.of("hold", taken(1)));
        relay.snapshot = PROXY;
        start(List.of(new Order.Mask("s1", true), new Order.Mark(41, false)));
        Link call = relay.taken();
        hears(JOINED);
        tell(relay.news.get(0), "done id=8&seq=41&ms=1.5");
        hears(new Event.InForce(8, 41, 1_500_000));
        return call;
    }

    private void theNextCallIsAnother() throws Exception {
        order(new Order.Mask("s1", false));
        await(() -> relay.asked().size() == 2);
        assertTrue(relay.asked().get(1).endsWith("=restore,s1"), relay.asked().get(1));
    }

    @Test
    void proofThatComesBeforeTheCallBreaksCounts() throws Exception {
        callThatItsMarkProved().close();
        await(() -> counters.value("calls.broken") == 1);
        theNextCallIsAnother();
        assertEquals(1, counters.value("calls.proved"));
    }

    @Test
    void anAnswerThatComesAfterItsProofIsTakenOnce() throws Exception {
        callThatItsMarkProved().send(reply(taken(2)));
        await(() -> counters.value("calls.taken") == 1);
        theNextCallIsAnother();
    }

    @Test
    void aRefusedOrderInARepeatedCallLeavesOutThatOneAlone() throws Exception {
        relay.answers.clear();
        relay.answers.addAll(List.of("x", taken(1), taken(1)));
        start(List.of(new Order.Mask("s1", true), new Order.SetLine(1, "s9", 1), new Order.Mask("s2", true)));
        await(() -> counters.value("calls.taken") == 2);
        assertTrue(
                relay.asked().get(2).endsWith("changes=withdraw,s2"),
                relay.asked().get(2));
        assertEquals(1, counters.value("orders.refused"));
    }

    /** Orders left out must not be believed: after as many as may wait, all that stands is told anew. */
    @Test
    void aQueueThatOverflowsWhileACallIsOutTellsAnewWhatStands() throws Exception {
        relay.answers.clear();
        relay.answers.add("hold");
        relay.snapshot = PROXY + SLICE;
        start(List.of());
        hears(new Event.StoredLine(1, "s1", 1));
        for (int i = 0; counters.value("calls.overflowed") == 0 && i < 1000; i++) {
            order(new Order.SetLine(1, "s1", 1 + i));
            await(toOrder::isEmpty);
        }
        hears(new Event.ProxyLeft(8));
        hears(JOINED);
        relay.answers.clear();
        relay.answers.add(taken(1));
        await(() -> counters.value("calls.taken") >= 2);
        order(new Order.Mask("s1", true));
        await(() -> relay.asked().get(relay.asked().size() - 1).endsWith("=withdraw,s1"));
    }

    // ---- Hand-overs.

    /** The relay took the orders while the slice was another's, where they change nothing, or before its lines were. */
    @Test
    void ordersThatWereOutWhileTheirSliceWentAndCameAreRepeated() throws Exception {
        relay.answers.clear();
        relay.answers.addAll(List.of("hold", taken(1)));
        relay.snapshot = PROXY + SLICE;
        start(List.of());
        hears(new Event.StoredLine(1, "s1", 1));
        order(new Order.SetLine(1, "s2", 1));
        Link call = relay.taken();
        tell(relay.news.get(0), "owner range=1&flag=0", "owner range=1&flag=1", "entry range=1&target=s1&rps=1");
        relay.news.get(0).send(ascii(chunk(":\n\n")));
        hears(new Event.SliceCharge(1, false));
        hears(new Event.SliceCharge(1, true));
        call.send(reply(taken(1)));
        await(() -> relay.asked().size() == 2);
        assertTrue(
                relay.asked().get(1).endsWith("share,1,s2,1.0"), relay.asked().get(1));
    }

    @Test
    void aProxyThatLeavesAndComesBackInOneReadIsToldAsBoth() throws Exception {
        relay.snapshot = PROXY;
        start(List.of());
        hears(JOINED);
        tell(relay.news.get(0), "detach id=8", "attach id=8&site=b&rps=2&new=1", "entry range=1&target=unknown&rps=1");
        hears(new Event.ProxyLeft(8));
        hears(new Event.ProxyJoined(8, true, 2, 1));
    }

    @Test
    void aNewStreamCutBeforeItSettlesLeavesTheOldOneInCharge() throws Exception {
        relay.snapshot = PROXY;
        start(List.of());
        hears(JOINED);
        Server moved = new Server();
        moved.mute = true;
        configure(moved);
        service.reload();
        await(() -> moved.streams() == 1);
        tell(moved.news.get(0), "attach id=3&site=a&rps=1&new=1");
        moved.mute = false;
        moved.snapshot = PROXY;
        moved.news.get(0).close();
        tell(relay.news.get(0), "done id=8&seq=5&ms=1.5");
        hears(new Event.InForce(8, 5, 1_500_000));
        await(() -> moved.streams() == 2);
    }

    // ---- Reload.

    @Test
    void twoReloadsDuringACallInDoubtMakeItAgainAtTheNewAddressOnce() throws Exception {
        relay.answers.clear();
        relay.answers.add("hold");
        start(List.of(new Order.Mask("s1", true)));
        Link call = relay.taken();
        Server moved = new Server();
        moved.answers.add(taken(1));
        configure(moved);
        service.reload();
        service.reload();
        await(() -> counters.value("reloads") == 2 && moved.streams() == 1);
        call.close();
        await(() -> counters.value("calls.taken") == 1);
        assertEquals(1, moved.asked().size());
        assertEquals(1, relay.asked().size());
    }

    @Test
    void aReloadBackToTheFirstAddressWhileTheOtherOpensOrIsDialledCarriesOnThere() throws Exception {
        relay.snapshot = PROXY;
        start(List.of());
        hears(JOINED);
        Server silent = new Server();
        silent.mute = true;
        configure(silent);
        service.reload();
        await(() -> silent.streams() == 1);
        // One whose queue of connections is full: a dial to it stays out.
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
            await(() -> relay.streams() == 2);
            for (SocketChannel each : waiting) {
                each.close();
            }
        }
        tell(relay.news.get(1), "done id=8&seq=5&ms=1.5");
        hears(new Event.InForce(8, 5, 1_500_000));
    }

    @Test
    void aHalfWrittenConfigurationIsReadAgain() throws Exception {
        start(List.of());
        Server moved = new Server();
        Path file = folder.resolve("config.json");
        String whole = configuration(moved.listener.address());
        Files.writeString(file, whole.substring(0, whole.length() / 2));
        service.reload();
        await(() -> counters.value("reloads.refused") == 1);
        Files.writeString(file, whole);
        await(() -> moved.streams() == 1);
        assertEquals(1, counters.value("reloads"));
    }

    @Test
    void settingsThatChangedWithTheAddressesAreSaidToWaitForARestart() throws Exception {
        start(List.of());
        Server moved = new Server();
        Files.writeString(
                folder.resolve("config.json"),
                configuration(moved.listener.address()).replace("\"Ranges\":4", "\"Ranges\":5"));
        service.reload();
        await(() -> moved.streams() == 1);
        assertEquals(1, counters.value("reloads.settings_kept"));
    }

    // ---- Watches of the list.

    private static String list(int generation, boolean whole, String id, String state) {
        return "{\"generation\":" + generation + ",\"reset\":" + whole + ",\"instances\":["
                + ENTRY.replace("\"s1\"", "\"" + id + "\"").replace("SERVING", state) + "]}";
    }

    private static Event told(Event.ListKind kind, String id, Event.Listed state) {
        return new Event.ServerList(kind, List.of(new Event.Entry(id, 0, 0, 3, state, 1.5, 0)));
    }

    @Test
    void aServiceThatCameBackWithALowerGenerationIsBelieved() throws Exception {
        discovery.answers.clear();
        discovery.answers.addAll(List.of(list(9, true, "s1", "SERVING"), list(3, true, "s2", "SERVING"), ""));
        start(List.of(new Order.Follow(true)));
        hears(told(Event.ListKind.WHOLE, "s1", Event.Listed.READY));
        hears(told(Event.ListKind.WHOLE, "s2", Event.Listed.READY));
        await(() -> discovery.asked().size() == 3);
        assertTrue(
                discovery.asked().get(2).contains("from=3&"), discovery.asked().get(2));
    }

    @Test
    void changesAgainstALowerGenerationAreNoBasisAndTheWholeListIsAskedFor() throws Exception {
        discovery.answers.clear();
        discovery.answers.addAll(List.of(
                list(9, true, "s1", "SERVING"), list(3, false, "s2", "SERVING"), list(3, true, "s3", "SERVING"), ""));
        start(List.of(new Order.Follow(true)));
        hears(told(Event.ListKind.WHOLE, "s1", Event.Listed.READY));
        hears(told(Event.ListKind.WHOLE, "s3", Event.Listed.READY));
        assertEquals("/api/targets", discovery.asked().get(2));
    }

    @Test
    void aWholeListThatAnOlderFetchBringsLateIsAskedForAnew() throws Exception {
        discovery.answers.clear();
        discovery.answers.addAll(
                List.of("hold", list(9, true, "s1", "SERVING"), "hold", list(9, true, "s4", "SERVING"), ""));
        start(List.of(new Order.FetchList()));
        Link fetch = discovery.taken();
        order(new Order.Follow(true));
        hears(told(Event.ListKind.WHOLE, "s1", Event.Listed.READY));
        discovery.taken();
        fetch.send(reply(list(7, true, "s0", "SERVING")));
        hears(told(Event.ListKind.WHOLE, "s4", Event.Listed.READY));
    }

    @Test
    void aBackendDeletedAndListedAgainUnderItsIdIsToldAsBoth() throws Exception {
        discovery.answers.clear();
        discovery.answers.addAll(List.of(
                list(9, true, "s1", "SERVING"),
                list(10, false, "s1", "DELETED"),
                list(11, false, "s1", "SERVING"),
                ""));
        start(List.of(new Order.Follow(true)));
        hears(told(Event.ListKind.PATCH, "s1", Event.Listed.GONE));
        hears(told(Event.ListKind.PATCH, "s1", Event.Listed.READY));
    }

    // ---- Idle connections.

    @Test
    void aKeptConnectionThatClosesAtTheMomentOfUseIsNoFailedWatch() throws Exception {
        discovery.answers.clear();
        discovery.answers.addAll(List.of(list(9, true, "s1", "SERVING"), "x", list(10, false, "s1", "DRAINING"), ""));
        start(List.of(new Order.Follow(true)));
        hears(told(Event.ListKind.PATCH, "s1", Event.Listed.DRAINING));
        assertTrue(
                discovery.asked().get(1).contains("from=9&"), discovery.asked().get(1));
        assertEquals(0, counters.value("discovery.failed"));
    }

    @Test
    void aConnectionThatClosesAfterHalfAnAnswerFailsAndIsNotRepeated() throws Exception {
        discovery.answers.clear();
        discovery.answers.addAll(List.of(list(9, true, "s1", "SERVING"), "hold", ""));
        start(List.of(new Order.Follow(true)));
        Link watch = discovery.taken();
        watch.send(ascii("HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\n{\"gen"));
        watch.closeWhenSent();
        hears(new Event.ServerList(Event.ListKind.BROKEN, List.of()));
        assertEquals(2, discovery.asked().size());
    }

    @Test
    void whatFollowsAnAnswerUnaskedIsNotTakenForTheNextOne() throws Exception {
        relay.answers.clear();
        relay.answers.add("hold");
        relay.snapshot = PROXY;
        start(List.of(new Order.Mask("s1", true)));
        Link first = relay.taken();
        hears(JOINED);
        first.send(ascii("HTTP/1.1 200 OK\r\ncontent-length: " + taken(1).length() + "\r\n\r\n" + taken(1)
                + "HTTP/1.1 200 OK\r\ncontent-length: 900\r\n\r\n<?xml "));
        await(() -> counters.value("calls.taken") == 1);
        order(new Order.Mask("s1", false));
        assertNotSame(first, relay.taken());
    }

    @Test
    void connectionsThatCloseAfterEachAnswerLeaveNoDescriptorsBehind() throws Exception {
        discovery.answers.clear();
        discovery.answers.add("hold");
        start(List.of(new Order.Follow(true)));
        discovery.taken().send(reply(list(9, true, "s1", "SERVING")));
        UnixOperatingSystemMXBean system = (UnixOperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        hears(told(Event.ListKind.WHOLE, "s1", Event.Listed.READY));
        Link watch = discovery.taken();
        long before = system.getOpenFileDescriptorCount();
        for (int i = 0; i < 500; i++) {
            watch.send(reply(list(10 + i, false, "s1", "SERVING")));
            watch.closeWhenSent();
            hears(told(Event.ListKind.PATCH, "s1", Event.Listed.READY));
            // The next call found the old connection closing or closed; either way it comes over a fresh one.
            Link next = discovery.taken();
            watch = next.ended() ? discovery.taken() : next;
        }
        await(() -> system.getOpenFileDescriptorCount() <= before + 8);
        assertEquals(0, counters.value("discovery.failed"));
    }

    // ---- Start.

    @Test
    void aSignOfLifeIsAnsweredOnlyOnceTheDecisionsHaveSeenWhatIsKnown() throws Exception {
        start(List.of(new Order.Log("first decision")));
        assertTrue(connect(message("hb")).getInputStream().read() >= 0);
        List<String> lines = logged().stream()
                .map(line -> line.substring(line.indexOf(' ') + 1))
                .toList();
        assertEquals(0, lines.indexOf("decision first decision"), lines.toString());
        assertTrue(lines.get(1).startsWith("ready "), lines.toString());
    }

    @Test
    void aFloodOfReportsBeforeTheFirstDecisionIsDecidedWhole() throws Exception {
        CountDownLatch flooded = new CountDownLatch(1);
        start(List.of());
        service.execute(() -> {
            try {
                flooded.await();
            } catch (InterruptedException stop) {
                throw new IllegalStateException(stop);
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
        hears(new Event.SliceDemand(2, 0, 1, 0, 1_000_000_000));
    }
}
