package puffinbarrow.coordinator;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Function;
import puffinbarrow.control.Event;
import puffinbarrow.net.HttpParser;
import puffinbarrow.net.Link;
import puffinbarrow.net.Net;

/**
 * Probes servers, each time with one GET over a new connection. Every probe ends in exactly one answer, on a thread of
 * the channel group or of the timer. Called on the decision thread.
 */
public final class Prober {
    /**
     * How servers are probed.
     *
     * @param path the path to get
     * @param report reads the load report from a response with a 2xx status
     */
    public record ProbeSpec(String path, Function<HttpParser.Message, Map<Event.Measure, Double>> report) {}

    private static final ProbeSpec DEFAULT_SPEC =
            new ProbeSpec("/probe", reply -> OrcaReport.read(reply.header(OrcaReport.HEADER)));

    /** As long as proxies wait for a connection; a server that pauses for longer counts as not answering. */
    private static final long TIMEOUT_MS = 250;
    /** Above the number of servers that one list change can name; further probes are answered as failed at once. */
    private static final int MAX_CONCURRENT = 256;

    /** The largest response body accepted. */
    private static final int MAX_BODY_BYTES = 4096;
    /** Send queue of a probe's connection: one request. */
    private static final long QUEUE_BYTES = 4096;

    private final Net net;
    private final AtomicInteger running = new AtomicInteger();

    private final Function<String, InetSocketAddress> addresses;
    private final long timeoutMs;
    private final ProbeSpec spec;

    Prober(Net net) {
        this(net, Prober::address, TIMEOUT_MS, DEFAULT_SPEC);
    }

    Prober(Net net, Function<String, InetSocketAddress> addresses, long timeoutMs) {
        this(net, addresses, timeoutMs, DEFAULT_SPEC);
    }

    /**
     * @param addresses maps a server id to its address, or to null if it cannot be probed
     * @param timeoutMs for connecting, and for the complete probe
     */
    public Prober(Net net, Function<String, InetSocketAddress> addresses, long timeoutMs, ProbeSpec spec) {
        this.spec = spec;
        this.net = net;
        this.addresses = addresses;
        this.timeoutMs = timeoutMs;
    }

    private static InetSocketAddress address(String server) {
        return server.indexOf(':') < 0 ? null : Net.parseAddress(server);
    }

    /** Starts a probe of a server; {@code answer} is called once. */
    public void probe(String server, Consumer<Event.Probed> answer) {
        long startedNs = System.nanoTime();
        AtomicBoolean done = new AtomicBoolean();
        Consumer<Map<Event.Measure, Double>> end = report -> {
            if (done.compareAndSet(false, true)) {
                running.decrementAndGet();
                answer.accept(new Event.Probed(
                        server, report != null, System.nanoTime() - startedNs, report == null ? Map.of() : report));
            }
        };
        InetSocketAddress to = addresses.apply(server);
        if (running.incrementAndGet() > MAX_CONCURRENT || to == null) {
            end.accept(null);
            return;
        }
        HttpParser parser = new HttpParser(
                false,
                MAX_BODY_BYTES,
                reply -> end.accept(reply.first().startsWith("2") ? spec.report.apply(reply) : null));
        Link.Receiver receiver = new Link.Receiver() {
            @Override
            public void received(Link link, ByteBuffer bytes) {
                parser.feed(bytes);
                if (done.get()) {
                    link.close();
                }
            }

            @Override
            public void ended(Link link, Link.Cause cause, String detail) {
                end.accept(null);
            }
        };
        net.connect(
                to,
                receiver,
                QUEUE_BYTES,
                timeoutMs,
                link -> {
                    link.send(ByteBuffer.wrap(
                            ("GET " + spec.path + " HTTP/1.1\r\nhost: " + server + "\r\nconnection: close\r\n\r\n")
                                    .getBytes(StandardCharsets.US_ASCII)));
                    net.schedule(timeoutMs, link::close);
                },
                failed -> end.accept(null));
        net.schedule(timeoutMs, () -> end.accept(null));
    }
}
