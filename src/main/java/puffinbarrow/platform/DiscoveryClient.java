package puffinbarrow.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import puffinbarrow.control.Event;
import puffinbarrow.net.HttpCaller;
import puffinbarrow.net.Net;

/**
 * Discovery: a watch that the decisions turn on, and single calls for the whole list. A watch's call is answered and
 * followed by the next; one that fails ends the watch and is told, and the decisions ask for it anew when they see
 * fit. All methods run on the decision thread.
 */
final class DiscoveryClient {
    /**
     * How long a watch's call may be held. What changes counts as told two seconds after it at the latest even if
     * discovery has fallen silent, so a long wait only hides a dead connection; a short one costs calls.
     */
    private static final long HOLD_MS = 5000;
    /** Beyond the wait: discovery gives up after two seconds of its own. */
    private static final long ANSWER_MS = 2300;

    private static final long CONNECT_MS = 500;
    private static final int LIST_BYTES = 1 << 20;

    private final Host host;
    private final Translation words;
    private final HttpCaller watch;
    private final HttpCaller single;
    private final Map<String, InetSocketAddress> addresses = new ConcurrentHashMap<>();
    private InetSocketAddress at;
    private long version;
    private boolean following;
    /** Counts watches, so that an answer to one given up is passed over. */
    private long life;

    DiscoveryClient(Net net, Host host, Translation words, InetSocketAddress at, Translation.Listing known) {
        this.host = host;
        this.words = words;
        this.at = at;
        this.watch = new HttpCaller(net, CONNECT_MS, 1_000_000, LIST_BYTES, true);
        this.single = new HttpCaller(net, CONNECT_MS, 0, LIST_BYTES, true);
        this.version = known.version();
        addresses.putAll(known.addresses());
    }

    /** Where a backend listens, for probes; any thread. */
    InetSocketAddress address(String server) {
        return addresses.get(server);
    }

    void moved(InetSocketAddress address) {
        if (!address.equals(at)) {
            at = address;
            if (following) {
                follow(false);
                follow(true);
            }
        }
    }

    void follow(boolean on) {
        if (on && !following) {
            following = true;
            // The first call is answered at once: that is the answer the decisions wait for.
            ask(++life, 0);
        } else if (!on && following) {
            following = false;
            life++;
            watch.close();
        }
    }

    private void ask(long which, long holdMs) {
        long from = version;
        byte[] request = get("/api/targets?from=" + from + "&hold_ms=" + holdMs);
        watch.call(
                at,
                request,
                holdMs + ANSWER_MS,
                ended -> host.offer(() -> {
                    if (which == life && following) {
                        answered(which, ended, holdMs == 0, from);
                    }
                }));
    }

    private void answered(long which, HttpCaller.Ended ended, boolean first, long from) {
        try {
            Translation.Listing listing = read(ended);
            if (beganAnew(listing, from) && listing.list().kind() != Event.ListKind.WHOLE) {
                resync(which);
                return;
            }
            if (first || !listing.list().entries().isEmpty() || listing.list().kind() == Event.ListKind.WHOLE) {
                take(listing);
            }
            // From what was just told: asked before, the service would say the same again at once.
            ask(which, HOLD_MS);
            host.counters().count("discovery.answers");
        } catch (ProtocolException | IOException wrong) {
            follow(false);
            failed(wrong);
        }
    }

    /** An answer older than what was asked from isn't late: the service counts from another beginning now. */
    private boolean beganAnew(Translation.Listing listing, long from) {
        if (listing.version() >= from) {
            return false;
        }
        host.counters().note("discovery.began_anew", "generation " + listing.version() + " after " + from);
        version = 0;
        return true;
    }

    /** Changes without their base say nothing: the whole list first, then the watch goes on. */
    private void resync(long which) {
        watch.call(
                at,
                get("/api/targets"),
                ANSWER_MS,
                ended -> host.offer(() -> {
                    if (which == life && following) {
                        answered(which, ended, true, 0);
                    }
                }));
    }

    private void failed(Exception wrong) {
        host.counters().note("discovery.failed", wrong.getMessage());
        host.happened(new Event.ServerList(Event.ListKind.BROKEN, List.of()));
    }

    /** Asks once for the whole list. */
    void fetch() {
        long from = version;
        single.call(
                at,
                get("/api/targets"),
                ANSWER_MS,
                ended -> host.offer(() -> {
                    try {
                        Translation.Listing listing = read(ended);
                        beganAnew(listing, from);
                        if (!take(listing)) {
                            // A watch's answer overtook it; whoever asked still waits for a whole list.
                            fetch();
                        }
                    } catch (ProtocolException | IOException wrong) {
                        failed(wrong);
                    }
                }));
    }

    private Translation.Listing read(HttpCaller.Ended ended) throws IOException {
        if (ended.answer() == null) {
            throw new IOException(ended.failure());
        }
        if (!ended.answer().first().equals("200")) {
            throw new IOException("status " + ended.answer().first());
        }
        return words.listing(Configuration.json(ended.answer().body()));
    }

    private boolean take(Translation.Listing listing) {
        if (listing.version() < version) {
            host.counters().count("discovery.older");
            return false;
        }
        version = listing.version();
        if (listing.list().kind() == Event.ListKind.WHOLE) {
            addresses.clear();
        }
        addresses.putAll(listing.addresses());
        listing.list().entries().stream()
                .filter(e -> e.listed() == Event.Listed.GONE)
                .forEach(e -> addresses.remove(e.server()));
        host.happened(listing.list());
        return true;
    }

    private byte[] get(String target) {
        return ("GET " + target + " HTTP/1.1\r\nhost: " + Net.text(at) + "\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
    }
}
