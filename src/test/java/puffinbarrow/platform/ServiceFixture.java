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
import java.net.SocketTimeoutException;
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
import puffinbarrow.net.ClientMemory;
import puffinbarrow.net.HttpParser;
import puffinbarrow.net.Link;
import puffinbarrow.net.Net;
import puffinbarrow.resp.RespWriter;

/**
 * Runs a {@link Service} with a scripted controller, against a stub relay and a stub discovery on loopback sockets.
 * Tests connect to it as collectors or other clients.
 */
abstract class ServiceFixture {
    static final String ENTRY =
            "{\"instanceId\":\"s1\",\"hostPort\":\"127.0.0.1:9\",\"zone\":\"a\",\"machineType\":\"m\","
                    + "\"cell\":3,\"lifecycle\":\"SERVING\",\"weight\":1.5,\"startedAtMs\":0}";

    /** Scripted answer: sends nothing. */
    static final String NO_ANSWER = "";
    /** Scripted answer: closes the connection. */
    static final String DISCONNECT = "x";
    /** Scripted answer: leaves the answer to the test, see {@link StubServer#awaitHeldRequest}. */
    static final String HOLD = "hold";

    /**
     * HTTP server that answers each request with the next of its scripted answers and repeats the last one. Requests
     * for the relay's event stream are answered with a stream that begins with the snapshot.
     */
    final class StubServer {
        /** Path and decoded body of each request. Its monitor guards this list and {@link #eventStreams}. */
        private final List<String> requests = new ArrayList<>();

        final ConcurrentLinkedQueue<String> answers = new ConcurrentLinkedQueue<>();
        final List<Link> eventStreams = new ArrayList<>();
        private final BlockingQueue<Link> held = new LinkedBlockingQueue<>();
        /** Events at the beginning of each event stream. */
        volatile String snapshot = "";
        /** Whether event streams get no answer at all, not even an HTTP header. */
        volatile boolean streamsSilent;

        final Net.Listener listener = net.listen(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1 << 20, channel -> new Link.Receiver() {
                    private Link link;
                    private final HttpParser parser = new HttpParser(true, 1 << 20, this::request);

                    private void request(HttpParser.Message message) {
                        if (message.second().equals("/api/stream")) {
                            // In one step with the header: a test that has awaited the stream sends after it.
                            synchronized (requests) {
                                eventStreams.add(link);
                                if (!streamsSilent) {
                                    link.send(ascii("HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
                                            + "transfer-encoding: chunked\r\n\r\n" + chunk(snapshot + ":\n\n")));
                                }
                            }
                            return;
                        }
                        synchronized (requests) {
                            requests.add(message.second()
                                    + URLDecoder.decode(new String(message.body()), StandardCharsets.UTF_8));
                        }
                        String answer = answers.size() > 1 ? answers.poll() : answers.peek();
                        if (DISCONNECT.equals(answer)) {
                            link.close();
                        } else if (HOLD.equals(answer)) {
                            held.add(link);
                        } else if (answer != null && !answer.isEmpty()) {
                            link.send(reply(answer));
                        }
                    }

                    @Override
                    public void opened(Link opened) {
                        link = opened;
                    }

                    @Override
                    public void received(Link from, ByteBuffer bytes) {
                        parser.feed(bytes);
                    }

                    @Override
                    public void ended(Link from, Link.Cause cause, String detail) {}
                });

        StubServer() throws IOException {}

        List<String> requests() {
            synchronized (requests) {
                return List.copyOf(requests);
            }
        }

        /** Returns the connection of the next request whose answer is left to the test. */
        Link awaitHeldRequest() throws InterruptedException {
            Link link = held.poll(20, TimeUnit.SECONDS);
            assertNotNull(link, "no request held; requests: " + requests());
            return link;
        }

        int streamCount() {
            synchronized (requests) {
                return eventStreams.size();
            }
        }
    }

    /** Returns an HTTP answer with the body. */
    static ByteBuffer reply(String body) {
        return ascii("HTTP/1.1 200 OK\r\ncontent-length: " + body.length() + "\r\n\r\n" + body);
    }

    static ByteBuffer ascii(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Returns the text as one chunk of a chunked body. */
    static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** Returns the relay's answer to a call of which it accepted that many orders. */
    static String accepted(int count) {
        return "<?xml version=\"1.0\"?>\n<Response><items><item><ok_count>" + count
                + "</ok_count></item></items></Response>";
    }

    @TempDir
    Path folder;

    Net net;
    StubServer relay;
    StubServer discovery;
    private final ByteArrayOutputStream log = new ByteArrayOutputStream();
    final CounterRegistry counters = new CounterRegistry(new PrintStream(log, true));
    /** Events that the controller received. */
    final BlockingQueue<Event> controllerEvents = new LinkedBlockingQueue<>();
    /** Orders that the controller returns, one list for each batch. */
    final ConcurrentLinkedQueue<List<Order>> queuedOrders = new ConcurrentLinkedQueue<>();

    Service service;
    /** What the service's clients together may make it hold. */
    ClientMemory clientMemory = ClientMemory.ofHeap();
    /** Whether the controller throws an exception for each batch. */
    volatile boolean controllerFails;

    @BeforeEach
    void startStubServers() throws IOException {
        net = new Net("test", 2);
        relay = new StubServer();
        discovery = new StubServer();
        relay.answers.add(accepted(1));
        discovery.answers.add("{\"generation\":7,\"reset\":false,\"instances\":[]}");
        discovery.answers.add("");
    }

    @AfterEach
    void stop() {
        if (service != null) {
            service.close();
        }
        net.close();
    }

    /** Domain settings besides those of all tests, as the end of a JSON object. */
    String domainSettings = "";

    /** Limit on the service's sockets. */
    int sockets = 256;

    /** Writes the configuration file, with the given relay. */
    void configure(StubServer relayServer) throws IOException {
        Files.writeString(folder.resolve("config.json"), configuration(relayServer.listener.address()));
    }

    /** Returns the JSON configuration with the given relay address. */
    String configuration(InetSocketAddress relayServer) {
        return "{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\""
                + Net.formatAddress(discovery.listener.address())
                + "\",\"seed\":\"ff\",\"limits\":{\"sockets\":" + sockets + "},\"registry\":{\"address\":\""
                + Net.formatAddress(relayServer) + "\"},\"known\":{\"generation\":5,\"reset\":true,\"instances\":["
                + ENTRY
                + "]},\"settings\":{\"Zones\":[\"a\",\"b\"],\"Models\":[\"m\"],\"Discovery\":\"ask\",\"RequestClasses\":[{\"Name\":\"x\","
                + "\"AimNs\":1,\"Importance\":1}],\"Domain\":{\"Ranges\":4,\"ProxyCount\":9,\"Backlog\":100,\"EgressPerS\":100"
                + domainSettings + "}}}";
    }

    /** Starts the service; the controller answers the first batch with the given orders. */
    void start(List<Order> first) throws IOException {
        configure(relay);
        queuedOrders.add(first);
        service = new Service(
                folder.resolve("config.json"),
                (settings, seed) -> (now, events) -> {
                    if (controllerFails) {
                        throw new IllegalStateException("simulated failure");
                    }
                    // Before the events are recorded: a test that has seen one queues orders for a later batch.
                    List<Order> next = queuedOrders.poll();
                    controllerEvents.addAll(events);
                    return next == null ? List.of() : next;
                },
                counters,
                clientMemory);
        Thread thread = new Thread(service::run);
        thread.setDaemon(true);
        thread.start();
    }

    List<String> logLines() {
        return log.toString(StandardCharsets.UTF_8).lines().toList();
    }

    /** Sends events, each as "TYPE DATA", on the relay's event stream in one write. */
    static void sendEvents(Link stream, String... events) {
        StringBuilder text = new StringBuilder();
        for (String event : events) {
            int space = event.indexOf(' ');
            text.append("event: ")
                    .append(event, 0, space)
                    .append("\ndata: ")
                    .append(event.substring(space + 1))
                    .append("\n\n");
        }
        stream.send(ascii(chunk(text.toString())));
    }

    /** Waits up to 20 seconds for the condition. */
    static void await(BooleanSupplier condition) {
        try {
            for (int i = 0; i < 4000 && !condition.getAsBoolean(); i++) {
                Thread.sleep(5);
            }
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
        assertTrue(condition.getAsBoolean(), "condition not met within 20 s");
    }

    /** Discards the controller's events until the expected one comes. */
    void awaitEvent(Event expected) throws InterruptedException {
        Event event = controllerEvents.poll(20, TimeUnit.SECONDS);
        while (event != null && !event.equals(expected)) {
            event = controllerEvents.poll(20, TimeUnit.SECONDS);
        }
        assertEquals(expected, event);
    }

    /** Connects to the service as a client and sends the bytes. */
    Socket connect(byte[] firstBytes) throws IOException {
        return connect(service.address(), firstBytes);
    }

    static Socket connect(InetSocketAddress to, byte[] firstBytes) throws IOException {
        Socket socket = new Socket(to.getAddress(), to.getPort());
        socket.setSoTimeout(20_000);
        socket.getOutputStream().write(firstBytes);
        return socket;
    }

    /** Returns all bytes received until the end of the connection or its reset, or "open" if it stays open for 20 s. */
    static String readUntilClosed(Socket socket) {
        StringBuilder received = new StringBuilder();
        try (socket;
                InputStream in = socket.getInputStream()) {
            for (int b = in.read(); b >= 0; b = in.read()) {
                received.append((char) b);
            }
        } catch (SocketTimeoutException stillOpen) {
            return "open";
        } catch (IOException reset) {
            return received.toString();
        }
        return received.toString();
    }

    /** Returns a message in RESP. */
    static byte[] message(String... parts) {
        return RespWriter.array(parts).array();
    }
}
