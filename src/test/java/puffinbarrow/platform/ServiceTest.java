package puffinbarrow.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import puffinbarrow.control.Event;
import puffinbarrow.control.Order;

/**
 * Failures of the relay, discovery, collectors and the configuration that a coordinator in service must survive, and
 * the messages it then sends.
 */
class ServiceTest extends ServiceFixture {
    @Test
    void sendsOrdersOfABatchAsOneCallAndRepeatsItUntilAccepted() throws Exception {
        relay.answers.clear();
        relay.answers.addAll(List.of(
                DISCONNECT,
                "<Response><Errors><Code>BUSY</Code></Errors></Response>",
                accepted(77),
                NO_ANSWER,
                accepted(1),
                accepted(2),
                accepted(1)));
        start(List.of(
                new Order.SetLine(3, "s1", 1),
                new Order.SetLine(2, "s9", 0.03),
                new Order.Mask("s1", true),
                new Order.SetLevel(Order.ALL_TABLES, 1, 0.9, Order.Retry.ON_PROOF)));
        String completeCall =
                "/api/Action=CommitChanges&changes=share,3,s1,1.0;share,2,s9,0.03;withdraw,s1;admit,*,x,0.9,1";
        // A broken connection, BUSY, an impossible count and silence: the call is repeated. Then the relay accepts the
        // first order and refuses the second, which is dropped.
        await(() -> relay.requests()
                .equals(List.of(
                        completeCall,
                        completeCall,
                        completeCall,
                        completeCall,
                        completeCall,
                        "/api/Action=CommitChanges&changes=withdraw,s1;admit,*,x,0.9,1")));
        await(() -> counters.value("orders.refused") == 1);
    }

    @Test
    void doesNotRepeatUnansweredCallWhoseMarkIsAcknowledged() throws Exception {
        relay.answers.clear();
        relay.answers.addAll(List.of(NO_ANSWER, accepted(1)));
        relay.snapshot = "event: attach\ndata: id=8&site=b&rps=2&new=0\n\n";
        start(List.of(new Order.Mask("s1", true), new Order.Mark(41, false)));
        await(() -> counters.value("calls.broken") == 1);
        relay.eventStreams.get(0).send(ascii(chunk("event: done\ndata: id=8&seq=41&ms=1.5\n\n")));
        awaitEvent(new Event.InForce(8, 41, 1_500_000));
        queuedOrders.add(List.of(new Order.Mask("s1", false)));
        relay.eventStreams.get(0).send(ascii(chunk("event: detach\ndata: id=8\n\n")));
        await(() -> relay.requests().size() == 2);
        assertTrue(
                relay.requests().get(1).endsWith("=restore,s1"),
                relay.requests().get(1));
    }

    @Test
    void repeatsMarkWhoseAcknowledgementsWereLostInAStreamGap() throws Exception {
        relay.snapshot = "event: attach\ndata: id=8&site=b&rps=2&new=0\n\n";
        relay.answers.clear();
        relay.answers.add(accepted(2));
        start(List.of(new Order.Mask("s1", true), new Order.Mark(41, true)));
        awaitEvent(new Event.ProxyJoined(8, false, 2, 1));
        await(() -> counters.value("calls.taken") == 1);
        relay.eventStreams.get(0).close();
        await(() -> relay.requests().size() > 1);
        assertTrue(
                relay.requests().get(1).endsWith("changes=mark,41,1"),
                relay.requests().get(1));
    }

    @Test
    void reportsFullStateAndMovesToANewRelayWithoutAGap() throws Exception {
        relay.snapshot = "event: attach\ndata: id=8&site=b&rps=2&new=0\n\nevent: owner\ndata: range=1&flag=1\n\n"
                + "event: entry\ndata: range=1&target=s1&rps=1\n\n";
        start(List.of());
        awaitEvent(new Event.ProxyJoined(8, false, 2, 1));
        awaitEvent(new Event.SliceCharge(1, true));
        awaitEvent(new Event.StoredLine(1, "s1", 1));
        StubServer moved = new StubServer();
        moved.answers.add(accepted(1));
        moved.snapshot = relay.snapshot + "event: owner\ndata: range=2&flag=1\n\n";
        configure(moved);
        service.reload();
        awaitEvent(new Event.SliceCharge(2, true));
        moved.eventStreams.get(0).send(ascii(chunk("event: done\ndata: id=8&seq=5&ms=1.5\n\n")));
        assertEquals(
                new Event.InForce(8, 5, 1_500_000),
                controllerEvents.poll(20, TimeUnit.SECONDS),
                "a proxy that stayed attached is not reported as left");
        // The stream breaks off: a new one is requested, and a proxy that left meanwhile is reported.
        moved.snapshot = "event: owner\ndata: range=1&flag=1\n\nevent: entry\ndata: range=1&target=s1&rps=1\n\n";
        moved.eventStreams.get(0).close();
        awaitEvent(new Event.ProxyLeft(8));
        awaitEvent(new Event.SliceCharge(2, false));
        assertEquals(1, relay.streamCount());
    }

    @Test
    void reportsFailedWatchAndStartsANewOneWhenOrdered() throws Exception {
        discovery.answers.clear();
        discovery.answers.addAll(List.of(
                "{\"generation\":9,\"reset\":true,\"instances\":[" + ENTRY + "]}", HOLD, DISCONNECT, NO_ANSWER));
        start(List.of(new Order.Follow(true)));
        awaitEvent(new Event.ServerList(
                Event.ListKind.WHOLE, List.of(new Event.Entry("s1", 0, 0, 3, Event.Listed.READY, 1.5, 0))));
        queuedOrders.add(List.of(new Order.Follow(true)));
        discovery.awaitHeldRequest().send(reply("{\"generation\":"));
        awaitEvent(new Event.ServerList(Event.ListKind.BROKEN, List.of()));
        await(() -> discovery.requests().size() >= 3);
        assertTrue(
                discovery.requests().get(0).endsWith("from=5&hold_ms=0"),
                discovery.requests().get(0));
        assertTrue(
                discovery.requests().get(2).contains("from=9&hold_ms=0"),
                discovery.requests().get(2));
    }

    @Test
    void keepsCurrentConfigurationIfTheNewOneIsMalformed() throws Exception {
        start(List.of());
        Files.writeString(folder.resolve("config.json"), "{\"name\":\"n0\",\"listen\":");
        service.reload();
        await(() -> counters.value("reloads.refused") == 1);
        queuedOrders.add(List.of(new Order.Mask("s1", true)));
        connect(message("telemetry", "site", "a"))
                .getOutputStream()
                .write(message("range_stats", "range", "1", "lane", "x", "count", "1", "fail", "0", "over", "1000"));
        await(() -> relay.requests().size() == 1);
    }

    @Test
    void continuesWithTheNextBatchAfterTheControllerFails() throws Exception {
        start(List.of());
        controllerFails = true;
        OutputStream out = connect(message("telemetry", "site", "a")).getOutputStream();
        out.write(message("range_stats", "range", "1", "lane", "x", "count", "1", "fail", "0", "over", "1000"));
        await(() -> counters.value("decisions.failed") >= 1);
        controllerFails = false;
        out.write(message("range_stats", "range", "2", "lane", "x", "count", "1", "fail", "0", "over", "1000"));
        awaitEvent(new Event.SliceDemand(2, 0, 1, 0, 1_000_000_000));
    }

    @Test
    void rejectsClientsThatDoNotJoinAndAnswersHeartbeats() throws Exception {
        start(List.of());
        List<Socket> rejected = new ArrayList<>();
        for (byte[] firstBytes : List.of(
                "GET / HTTP/1.1\r\n\r\n".getBytes(),
                new byte[0],
                new byte[] {0, 1, 2},
                "*2\r\n$3\r\nab".getBytes(),
                "*1\r\n$999999999\r\n".getBytes(),
                message("telemetry", "site", "nowhere"),
                message("telemetry"),
                message("attach", "id", "1", "site", "a", "rps", "1", "new", "1"),
                message("share", "4", "s1", "1"),
                message("range_stats", "range", "1", "lane", "x", "count", "1", "fail", "0", "over", "1000"))) {
            rejected.add(connect(firstBytes));
        }
        Socket heartbeat = connect(message("hb"));
        for (Socket each : rejected) {
            assertFalse(readUntilClosed(each).equals("open"));
        }
        assertTrue(readUntilClosed(heartbeat).startsWith("*1\r\n$5\r\nhb_ok\r\n"));
        assertEquals(11, counters.value("streams.turned_away"));
        assertTrue(controllerEvents.stream().noneMatch(e -> e instanceof Event.SliceDemand));
    }

    @Test
    void acceptsCollectorDespiteHundredsOfSilentConnections() throws Exception {
        start(List.of());
        List<Socket> silent = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            silent.add(connect(new byte[0]));
        }
        Socket collector = connect(message("telemetry", "site", "b"));
        collector
                .getOutputStream()
                .write(message("range_stats", "range", "1", "lane", "x", "count", "4", "fail", "9", "over", "1000"));
        awaitEvent(new Event.SliceDemand(1, 0, 4, 9, 1_000_000_000));
        for (Socket each : silent) {
            assertFalse(readUntilClosed(each).equals("open"));
        }
        collector.close();
    }

    @Test
    void ignoresInvalidReportsAndTakesTheValidOnesAroundThem() throws Exception {
        start(List.of());
        Socket collector = connect(message("telemetry", "site", "a"));
        OutputStream out = collector.getOutputStream();
        out.write(message(
                "upstream_stats",
                "site",
                "b",
                "target",
                "s1",
                "count",
                "4",
                "fail",
                "1",
                "mean",
                "41.5",
                "over",
                "1000.0",
                "util",
                "cpu_share:0.61,busy_reqs:7"));
        awaitEvent(new Event.ServerSums(
                "s1", 1, 1_000_000_000, 41_500_000, 1, 4, Map.of(Event.Measure.BUSY, 0.61, Event.Measure.HELD, 7.0)));
        String[][] invalidFields = {
            {"count", "-4"},
            {"count", "many"},
            {"fail", "5"},
            {"mean", "NaN"},
            {"over", "0"},
            {"site", "z"},
            {"target", ""},
            {"util", "cpu_share:x"},
            {"util", "nonsense"}
        };
        for (String[] change : invalidFields) {
            String[] report = {
                "upstream_stats",
                "site",
                "b",
                "target",
                "s1",
                "count",
                "4",
                "fail",
                "1",
                "mean",
                "41.5",
                "over",
                "1000",
                "util",
                "cpu_share:0.61"
            };
            report[List.of(report).indexOf(change[0]) + 1] = change[1];
            out.write(message(report));
        }
        out.write(message("upstream_stats", "site", "b"));
        out.write(message("nonsense"));
        out.write(message("range_stats", "range", "3", "lane", "x", "count", "2", "fail", "0", "over", "500"));
        awaitEvent(new Event.SliceDemand(3, 0, 2, 0, 500_000_000));
        assertEquals(invalidFields.length + 2, counters.value("reports.refused"));
        out.write("garbage".getBytes());
        assertTrue(readUntilClosed(collector).contains("reject"));
    }
}
