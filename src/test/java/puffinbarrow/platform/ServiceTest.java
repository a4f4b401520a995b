package puffinbarrow.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import puffinbarrow.control.Event;
import puffinbarrow.control.Order;
import puffinbarrow.net.HttpParser;
import puffinbarrow.net.Link;
import puffinbarrow.net.Net;
import puffinbarrow.resp.RespWriter;

/** A coordinator in service among a tiny relay, a tiny discovery and whoever connects, one story for each failure met. */
class ServiceTest {
    private static final String ENTRY = "{\"instanceId\":\"s1\",\"hostPort\":\"127.0.0.1:9\",\"zone\":\"a\",\"machineType\":\"m\","
            + "\"cell\":3,\"lifecycle\":\"SERVING\",\"weight\":1.5,\"startedAtMs\":0}";

    /** Answers every request by the next of its answers, the last one for ever; "" says nothing, "x" breaks off. */
    private final class Server {
        final List<String> asked = new ArrayList<>();
        final ConcurrentLinkedQueue<String> answers = new ConcurrentLinkedQueue<>();
        final List<Link> news = new ArrayList<>();
        String snapshot = "";
        final Net.Listener listener = net.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1 << 20,
                channel -> new Link.Receiver() {
                    private Link link;
                    private final HttpParser parser = new HttpParser(true, 1 << 20, this::request);

                    private void request(HttpParser.Message message) {
                        if (message.second().equals("/api/stream")) {
                            synchronized (asked) {
                                news.add(link);
                            }
                            link.send(ascii("HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
                                    + "transfer-encoding: chunked\r\n\r\n" + chunk(snapshot + ":\n\n")));
                            return;
                        }
                        synchronized (asked) {
                            asked.add(message.second() + URLDecoder.decode(new String(message.body()), StandardCharsets.UTF_8));
                        }
                        String answer = answers.size() > 1 ? answers.poll() : answers.peek();
                        if ("x".equals(answer)) {
                            link.close();
                        } else if (answer != null && !answer.isEmpty()) {
                            link.send(ascii("HTTP/1.1 200 OK\r\ncontent-length: " + answer.length() + "\r\n\r\n" + answer));
                        }
                    }

                    @Override
                    public void opened(Link fresh) {
                        link = fresh;
                    }

                    @Override
                    public void received(Link from, ByteBuffer bytes) {
                        parser.feed(bytes);
                    }

                    @Override
                    public void ended(Link from, Link.Cause cause, String detail) {}
                });

        private Server() throws IOException {}

        List<String> asked() {
            synchronized (asked) {
                return List.copyOf(asked);
            }
        }

        int streams() {
            synchronized (asked) {
                return news.size();
            }
        }
    }

    private static ByteBuffer ascii(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private static String taken(int count) {
        return "<?xml version=\"1.0\"?>\n<Response><items><item><ok_count>" + count + "</ok_count></item></items></Response>";
    }

    @TempDir
    Path folder;
    private Net net;
    private Server relay;
    private Server discovery;
    private final Tally tally = new Tally(new PrintStream(OutputStream.nullOutputStream()));
    private final BlockingQueue<Event> heard = new LinkedBlockingQueue<>();
    private final ConcurrentLinkedQueue<List<Order>> toOrder = new ConcurrentLinkedQueue<>();
    private Service service;
    private volatile boolean failing;

    @BeforeEach
    void open() throws IOException {
        net = new Net("test", 2);
        relay = new Server();
        discovery = new Server();
        relay.answers.add(taken(1));
        discovery.answers.add("{\"generation\":7,\"reset\":false,\"instances\":[]}");
        discovery.answers.add("");
    }

    @AfterEach
    void close() {
        service.close();
        net.close();
    }

    private void configure(Server relayNow) throws IOException {
        Files.writeString(folder.resolve("config.json"), "{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\""
                + Net.text(discovery.listener.address()) + "\",\"seed\":\"ff\",\"limits\":{\"sockets\":256},\"registry\":{\"address\":\""
                + Net.text(relayNow.listener.address()) + "\"},\"known\":{\"generation\":5,\"reset\":true,\"instances\":[" + ENTRY
                + "]},\"settings\":{\"Zones\":[\"a\",\"b\"],\"Models\":[\"m\"],\"Discovery\":\"ask\",\"RequestClasses\":[{\"Name\":\"x\","
                + "\"AimNs\":1,\"Importance\":1}],\"Domain\":{\"Ranges\":4,\"ProxyCount\":9,\"Backlog\":100,\"EgressPerS\":100}}}");
    }

    private void start(List<Order> first) throws IOException {
        configure(relay);
        toOrder.add(first);
        service = new Service(folder.resolve("config.json"), (settings, seed) -> (now, events) -> {
            if (failing) {
                throw new IllegalStateException("played");
            }
            heard.addAll(events);
            List<Order> next = toOrder.poll();
            return next == null ? List.of() : next;
        }, tally);
        Thread thread = new Thread(service::run);
        thread.setDaemon(true);
        thread.start();
    }

    private static void await(BooleanSupplier holds) {
        try {
            for (int i = 0; i < 4000 && !holds.getAsBoolean(); i++) {
                Thread.sleep(5);
            }
        } catch (InterruptedException stop) {
            throw new IllegalStateException(stop);
        }
        assertTrue(holds.getAsBoolean(), "did not come about");
    }

    private void hears(Event wanted) throws InterruptedException {
        Event event = heard.poll(20, TimeUnit.SECONDS);
        while (event != null && !event.equals(wanted)) {
            event = heard.poll(20, TimeUnit.SECONDS);
        }
        assertEquals(wanted, event);
    }

    @Test
    void ordersOfABatchAreOneCallMadeAgainUntilItIsTaken() throws Exception {
        relay.answers.clear();
        relay.answers.addAll(List.of("x", "<Response><Errors><Code>BUSY</Code></Errors></Response>", taken(77), "", taken(1),
                taken(2), taken(1)));
        start(List.of(new Order.SetLine(3, "s1", 1), new Order.SetLine(2, "s9", 0.03), new Order.Mask("s1", true),
                new Order.SetLevel(Order.ALL_TABLES, 1, 0.9, Order.Retry.ON_PROOF)));
        String whole = "/api/Action=CommitChanges&changes=share,3,s1,1.0;share,2,s9,0.03;withdraw,s1;admit,*,x,0.9,1";
        // Broken, busy, a count that can't be and silence: again. Then one taken: the second is left out.
        await(() -> relay.asked().equals(List.of(whole, whole, whole, whole, whole,
                "/api/Action=CommitChanges&changes=withdraw,s1;admit,*,x,0.9,1")));
        await(() -> tally.value("orders.refused") == 1);
    }

    @Test
    void aCallWithoutAnAnswerThatItsMarkProvesTakenIsNotMadeTwice() throws Exception {
        relay.answers.clear();
        relay.answers.addAll(List.of("", taken(1)));
        relay.snapshot = "event: attach\ndata: id=8&site=b&rps=2&new=0\n\n";
        start(List.of(new Order.Mask("s1", true), new Order.Mark(41, false)));
        await(() -> tally.value("calls.broken") == 1);
        relay.news.get(0).send(ascii(chunk("event: done\ndata: id=8&seq=41&ms=1.5\n\n")));
        hears(new Event.InForce(8, 41, 1_500_000));
        toOrder.add(List.of(new Order.Mask("s1", false)));
        relay.news.get(0).send(ascii(chunk("event: detach\ndata: id=8\n\n")));
        await(() -> relay.asked().size() == 2);
        assertTrue(relay.asked().get(1).endsWith("=restore,s1"), relay.asked().get(1));
    }

    @Test
    void aMarkWhoseAnswersFellIntoAGapOfTheNewsIsRepeated() throws Exception {
        relay.snapshot = "event: attach\ndata: id=8&site=b&rps=2&new=0\n\n";
        relay.answers.clear();
        relay.answers.add(taken(2));
        start(List.of(new Order.Mask("s1", true), new Order.Mark(41, true)));
        hears(new Event.ProxyJoined(8, false, 2, 1));
        await(() -> tally.value("calls.taken") == 1);
        relay.news.get(0).close();
        await(() -> relay.asked().size() > 1);
        assertTrue(relay.asked().get(1).endsWith("changes=mark,41,1"), relay.asked().get(1));
    }

    @Test
    void whatStandsIsToldWholeAndAReloadMovesWithoutAGap() throws Exception {
        relay.snapshot = "event: attach\ndata: id=8&site=b&rps=2&new=0\n\nevent: owner\ndata: range=1&flag=1\n\n"
                + "event: entry\ndata: range=1&target=s1&rps=1\n\n";
        start(List.of());
        hears(new Event.ProxyJoined(8, false, 2, 1));
        hears(new Event.SliceCharge(1, true));
        hears(new Event.StoredLine(1, "s1", 1));
        Server moved = new Server();
        moved.answers.add(taken(1));
        moved.snapshot = relay.snapshot + "event: owner\ndata: range=2&flag=1\n\n";
        configure(moved);
        service.reload();
        hears(new Event.SliceCharge(2, true));
        moved.news.get(0).send(ascii(chunk("event: done\ndata: id=8&seq=5&ms=1.5\n\n")));
        assertEquals(new Event.InForce(8, 5, 1_500_000), heard.poll(20, TimeUnit.SECONDS),
                "a proxy that stayed is not told as left");
        // Breaks off: the news is asked for again, and a proxy gone meanwhile is told.
        moved.snapshot = "event: owner\ndata: range=1&flag=1\n\nevent: entry\ndata: range=1&target=s1&rps=1\n\n";
        moved.news.get(0).close();
        hears(new Event.ProxyLeft(8));
        hears(new Event.SliceCharge(2, false));
        assertEquals(1, relay.streams());
    }

    @Test
    void aWatchThatFailsIsToldAndAskedForAnewWhenDecided() throws Exception {
        discovery.answers.clear();
        discovery.answers.addAll(List.of("{\"generation\":9,\"reset\":true,\"instances\":[" + ENTRY + "]}", "{\"generation\":", "x",
                ""));
        start(List.of(new Order.Follow(true)));
        hears(new Event.ServerList(Event.ListKind.WHOLE,
                List.of(new Event.Entry("s1", 0, 0, 3, Event.Listed.READY, 1.5, 0))));
        toOrder.add(List.of(new Order.Follow(true)));
        hears(new Event.ServerList(Event.ListKind.BROKEN, List.of()));
        await(() -> discovery.asked().size() >= 3);
        assertTrue(discovery.asked().get(0).endsWith("from=5&hold_ms=0"), discovery.asked().get(0));
        assertTrue(discovery.asked().get(2).contains("from=9&hold_ms=0"), discovery.asked().get(2));
    }

    @Test
    void aSpoiltConfigurationKeepsTheOldOneInUse() throws Exception {
        start(List.of());
        Files.writeString(folder.resolve("config.json"), "{\"name\":\"n0\",\"listen\":");
        service.reload();
        await(() -> tally.value("reloads.refused") == 1);
        toOrder.add(List.of(new Order.Mask("s1", true)));
        connect(message("telemetry", "site", "a")).getOutputStream()
                .write(message("range_stats", "range", "1", "lane", "x", "count", "1", "fail", "0", "over", "1000"));
        await(() -> relay.asked().size() == 1);
    }

    @Test
    void decisionsThatFailLeaveWhatStandsAndTheNextBatchIsDecided() throws Exception {
        start(List.of());
        failing = true;
        OutputStream out = connect(message("telemetry", "site", "a")).getOutputStream();
        out.write(message("range_stats", "range", "1", "lane", "x", "count", "1", "fail", "0", "over", "1000"));
        await(() -> tally.value("decisions.failed") >= 1);
        failing = false;
        out.write(message("range_stats", "range", "2", "lane", "x", "count", "1", "fail", "0", "over", "1000"));
        hears(new Event.SliceDemand(2, 0, 1, 0, 1_000_000_000));
    }

    private Socket connect(byte[] says) throws IOException {
        Socket socket = new Socket(service.address().getAddress(), service.address().getPort());
        socket.setSoTimeout(20_000);
        socket.getOutputStream().write(says);
        return socket;
    }

    /** All that is written until the end, which a reset brings too. */
    private static String untilClosed(Socket socket) {
        StringBuilder all = new StringBuilder();
        try (socket; InputStream in = socket.getInputStream()) {
            for (int b = in.read(); b >= 0; b = in.read()) {
                all.append((char) b);
            }
        } catch (java.net.SocketTimeoutException still) {
            return "open";
        } catch (IOException reset) {
            return all.toString();
        }
        return all.toString();
    }

    private static byte[] message(String... parts) {
        return RespWriter.array(parts).array();
    }

    @Test
    void strangersAreTurnedAwayAndSignsOfLifeAnswered() throws Exception {
        start(List.of());
        List<Socket> strangers = new ArrayList<>();
        for (byte[] says : List.of("GET / HTTP/1.1\r\n\r\n".getBytes(), new byte[0], new byte[] {0, 1, 2}, "*2\r\n$3\r\nab".getBytes(),
                "*1\r\n$999999999\r\n".getBytes(), message("telemetry", "site", "nowhere"), message("telemetry"),
                message("attach", "id", "1", "site", "a", "rps", "1", "new", "1"), message("share", "4", "s1", "1"),
                message("range_stats", "range", "1", "lane", "x", "count", "1", "fail", "0", "over", "1000"))) {
            strangers.add(connect(says));
        }
        Socket sign = connect(message("hb"));
        for (Socket stranger : strangers) {
            assertFalse(untilClosed(stranger).equals("open"));
        }
        assertTrue(untilClosed(sign).startsWith("*1\r\n$5\r\nhb_ok\r\n"));
        assertEquals(11, tally.value("streams.turned_away"));
        assertTrue(heard.stream().noneMatch(e -> e instanceof Event.SliceDemand));
    }

    @Test
    void hundredsThatSayNothingDoNotKeepACollectorOut() throws Exception {
        start(List.of());
        List<Socket> silent = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            silent.add(connect(new byte[0]));
        }
        Socket collector = connect(message("telemetry", "site", "b"));
        collector.getOutputStream().write(message("range_stats", "range", "1", "lane", "x", "count", "4", "fail", "9", "over", "1000"));
        hears(new Event.SliceDemand(1, 0, 4, 9, 1_000_000_000));
        for (Socket each : silent) {
            assertFalse(untilClosed(each).equals("open"));
        }
        collector.close();
    }

    @Test
    void aSpoiltReportIsLeftOutAndTheSoundOnesAroundItCount() throws Exception {
        start(List.of());
        Socket collector = connect(message("telemetry", "site", "a"));
        OutputStream out = collector.getOutputStream();
        out.write(message("upstream_stats", "site", "b", "target", "s1", "count", "4", "fail", "1", "mean", "41.5", "over",
                "1000.0", "util", "cpu_share:0.61,busy_reqs:7"));
        hears(new Event.ServerSums("s1", 1, 1_000_000_000, 41_500_000, 1, 4,
                java.util.Map.of(Event.Measure.BUSY, 0.61, Event.Measure.HELD, 7.0)));
        String[][] spoilt = {{"count", "-4"}, {"count", "many"}, {"fail", "5"}, {"mean", "NaN"}, {"over", "0"}, {"site", "z"},
            {"target", ""}, {"util", "cpu_share:x"}, {"util", "nonsense"}};
        for (String[] change : spoilt) {
            String[] report = {"upstream_stats", "site", "b", "target", "s1", "count", "4", "fail", "1", "mean", "41.5", "over", "1000",
                "util", "cpu_share:0.61"};
            report[List.of(report).indexOf(change[0]) + 1] = change[1];
            out.write(message(report));
        }
        out.write(message("upstream_stats", "site", "b"));
        out.write(message("nonsense"));
        out.write(message("range_stats", "range", "3", "lane", "x", "count", "2", "fail", "0", "over", "500"));
        hears(new Event.SliceDemand(3, 0, 2, 0, 500_000_000));
        assertEquals(spoilt.length + 2, tally.value("reports.refused"));
        out.write("garbage".getBytes());
        assertTrue(untilClosed(collector).contains("reject"));
    }
}
