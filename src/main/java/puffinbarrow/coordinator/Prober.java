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

/** Probes a backend with one GET on a stream of its own; every probe ends in exactly one answer. */
public final class Prober {
    /** Where to ask, and what a good answer says of the load. */
    public record Question(String path, Function<HttpParser.Message, Map<Event.Measure, Double>> report) {}

    private static final Question OURS = new Question("/probe", reply -> Orca.read(reply.header(Orca.HEADER)));

    /** As long as proxies wait for a connection; a pause of a server is longer and counts as a miss. */
    private static final long TIMEOUT_MS = 250;
    /** Above the servers of a fleet that one list change can name; more at once are answered as misses. */
    private static final int AT_ONCE = 256;

    private final Net net;
    private final AtomicInteger open = new AtomicInteger();

    private final Function<String, InetSocketAddress> addresses;
    private final long timeoutMs;
    private final Question question;

    Prober(Net net) {
        this(net, Prober::address, TIMEOUT_MS, OURS);
    }

    Prober(Net net, Function<String, InetSocketAddress> addresses, long timeoutMs) {
        this(net, addresses, timeoutMs, OURS);
    }

    public Prober(Net net, Function<String, InetSocketAddress> addresses, long timeoutMs, Question question) {
        this.question = question;
        this.net = net;
        this.addresses = addresses;
        this.timeoutMs = timeoutMs;
    }

    private static InetSocketAddress address(String server) {
        return server.indexOf(':') < 0 ? null : Net.address(server);
    }

    public void probe(String server, Consumer<Event.Probed> answer) {
        long began = System.nanoTime();
        AtomicBoolean done = new AtomicBoolean();
        Consumer<Map<Event.Measure, Double>> end = report -> {
            if (done.compareAndSet(false, true)) {
                open.decrementAndGet();
                answer.accept(new Event.Probed(
                        server, report != null, System.nanoTime() - began, report == null ? Map.of() : report));
            }
        };
        InetSocketAddress to = addresses.apply(server);
        if (open.incrementAndGet() > AT_ONCE || to == null) {
            end.accept(null);
            return;
        }
        HttpParser parser = new HttpParser(
                false, 4096, reply -> end.accept(reply.first().startsWith("2") ? question.report.apply(reply) : null));
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
        net.dial(
                to,
                receiver,
                4096,
                timeoutMs,
                link -> {
                    link.send(ByteBuffer.wrap(
                            ("GET " + question.path + " HTTP/1.1\r\nhost: " + server + "\r\nconnection: close\r\n\r\n")
                                    .getBytes(StandardCharsets.US_ASCII)));
                    net.schedule(timeoutMs, link::close);
                },
                failed -> end.accept(null));
        net.schedule(timeoutMs, () -> end.accept(null));
    }
}
