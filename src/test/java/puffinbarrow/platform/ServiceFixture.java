package puffinbarrow.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
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
import org.junit.jupiter.api.io.TempDir;
import puffinbarrow.control.Event;
import puffinbarrow.control.Order;
import puffinbarrow.net.HttpParser;
import puffinbarrow.net.Link;
import puffinbarrow.net.Net;
import puffinbarrow.resp.RespWriter;

/** A coordinator in service among a tiny relay, a tiny discovery and whoever connects. */
abstract class ServiceFixture {
    static final String ENTRY =
            "{\"instanceId\":\"s1\",\"hostPort\":\"127.0.0.1:9\",\"zone\":\"a\",\"machineType\":\"m\","
                    + "\"cell\":3,\"lifecycle\":\"SERVING\",\"weight\":1.5,\"startedAtMs\":0}";

    /**
     * Answers every request by the next of its answers, the last one for ever; "" says nothing, "x" breaks off, "hold"
     * leaves the answer to the test, see {@link #taken}.
     */
    final class Server {
        final List<String> asked = new ArrayList<>();
        final ConcurrentLinkedQueue<String> answers = new ConcurrentLinkedQueue<>();
        final List<Link> news = new ArrayList<>();
        private final BlockingQueue<Link> held = new LinkedBlockingQueue<>();
        volatile String snapshot = "";
        /** Whether who asks for news hears nothing, not even a head. */
        volatile boolean mute;

        final Net.Listener listener = net.listen(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1 << 20, channel -> new Link.Receiver() {
                    private Link link;
                    private final HttpParser parser = new HttpParser(true, 1 << 20, this::request);

                    private void request(HttpParser.Message message) {
                        if (message.second().equals("/api/stream")) {
                            synchronized (asked) {
                                news.add(link);
                            }
                            if (mute) {
                                return;
                            }
                            link.send(ascii("HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
                                    + "transfer-encoding: chunked\r\n\r\n" + chunk(snapshot + ":\n\n")));
                            return;
                        }
                        synchronized (asked) {
                            asked.add(message.second()
                                    + URLDecoder.decode(new String(message.body()), StandardCharsets.UTF_8));
                        }
                        String answer = answers.size() > 1 ? answers.poll() : answers.peek();
                        if ("x".equals(answer)) {
                            link.close();
                        } else if ("hold".equals(answer)) {
                            held.add(link);
                        } else if (answer != null && !answer.isEmpty()) {
                            link.send(reply(answer));
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

        Server() throws IOException {}

        List<String> asked() {
            synchronized (asked) {
                return List.copyOf(asked);
            }
        }

        /** The stream of the next request that is left to the test. */
        Link taken() throws InterruptedException {
            Link link = held.poll(20, TimeUnit.SECONDS);
            assertNotNull(link, "asked for nothing: " + asked());
            return link;
        }

        int streams() {
            synchronized (asked) {
                return news.size();
            }
        }
    }

    static ByteBuffer reply(String body) {
        return ascii("HTTP/1.1 200 OK\r\ncontent-length: " + body.length() + "\r\n\r\n" + body);
    }

    static ByteBuffer ascii(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII));
    }

    static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    static String taken(int count) {
        return "<?xml version=\"1.0\"?>\n<Response><items><item><ok_count>" + count
                + "</ok_count></item></items></Response>";
    }

    @TempDir
    Path folder;

    Net net;
    Server relay;
    Server discovery;
    private final ByteArrayOutputStream log = new ByteArrayOutputStream();
    final CounterRegistry counters = new CounterRegistry(new PrintStream(log, true));
    final BlockingQueue<Event> heard = new LinkedBlockingQueue<>();
    final ConcurrentLinkedQueue<List<Order>> toOrder = new ConcurrentLinkedQueue<>();
    Service service;
    volatile boolean failing;

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
        if (service != null) {
            service.close();
        }
        net.close();
    }

    void configure(Server relayNow) throws IOException {
        Files.writeString(folder.resolve("config.json"), configuration(relayNow.listener.address()));
    }

    String configuration(InetSocketAddress relayNow) {
        return "{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\""
                + Net.text(discovery.listener.address())
                + "\",\"seed\":\"ff\",\"limits\":{\"sockets\":256},\"registry\":{\"address\":\""
                + Net.text(relayNow) + "\"},\"known\":{\"generation\":5,\"reset\":true,\"instances\":[" + ENTRY
                + "]},\"settings\":{\"Zones\":[\"a\",\"b\"],\"Models\":[\"m\"],\"Discovery\":\"ask\",\"RequestClasses\":[{\"Name\":\"x\","
                + "\"AimNs\":1,\"Importance\":1}],\"Domain\":{\"Ranges\":4,\"ProxyCount\":9,\"Backlog\":100,\"EgressPerS\":100}}}";
    }

    void start(List<Order> first) throws IOException {
        configure(relay);
        toOrder.add(first);
        service = new Service(
                folder.resolve("config.json"),
                (settings, seed) -> (now, events) -> {
                    if (failing) {
                        throw new IllegalStateException("played");
                    }
                    heard.addAll(events);
                    List<Order> next = toOrder.poll();
                    return next == null ? List.of() : next;
                },
                counters);
        Thread thread = new Thread(service::run);
        thread.setDaemon(true);
        thread.start();
    }

    List<String> logged() {
        return log.toString(StandardCharsets.UTF_8).lines().toList();
    }

    /** News on a stream, as one write. */
    static void tell(Link stream, String... events) {
        StringBuilder all = new StringBuilder();
        for (String event : events) {
            int at = event.indexOf(' ');
            all.append("event: ")
                    .append(event, 0, at)
                    .append("\ndata: ")
                    .append(event.substring(at + 1))
                    .append("\n\n");
        }
        stream.send(ascii(chunk(all.toString())));
    }

    static void await(BooleanSupplier holds) {
        try {
            for (int i = 0; i < 4000 && !holds.getAsBoolean(); i++) {
                Thread.sleep(5);
            }
        } catch (InterruptedException stop) {
            throw new IllegalStateException(stop);
        }
        assertTrue(holds.getAsBoolean(), "did not come about");
    }

    void hears(Event wanted) throws InterruptedException {
        Event event = heard.poll(20, TimeUnit.SECONDS);
        while (event != null && !event.equals(wanted)) {
            event = heard.poll(20, TimeUnit.SECONDS);
        }
        assertEquals(wanted, event);
    }

    Socket connect(byte[] says) throws IOException {
        return connect(service.address(), says);
    }

    static Socket connect(InetSocketAddress to, byte[] says) throws IOException {
        Socket socket = new Socket(to.getAddress(), to.getPort());
        socket.setSoTimeout(20_000);
        socket.getOutputStream().write(says);
        return socket;
    }

    /** All that is written until the end, which a reset brings too. */
    static String untilClosed(Socket socket) {
        StringBuilder all = new StringBuilder();
        try (socket;
                InputStream in = socket.getInputStream()) {
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

    static byte[] message(String... parts) {
        return RespWriter.array(parts).array();
    }
}
