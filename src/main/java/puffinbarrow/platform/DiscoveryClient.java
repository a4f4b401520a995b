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
 * Client of the discovery service: a watch by long polling, which the controller turns on and off, and single requests
 * for the complete server list. Each answer of the watch is followed by the next request. A failed request ends the
 * watch and is reported to the controller, which decides when to start a new one. All methods run on the decision
 * thread unless noted.
 */
final class DiscoveryClient {
    /**
     * How long discovery may hold a watch request. A change counts as announced two seconds after it at the latest,
     * even if discovery does not answer; so a longer hold only delays the detection of a broken connection, and a
     * shorter one costs requests.
     */
    private static final long HOLD_MS = 5000;
    /** Time-out on top of the hold; discovery itself gives up after two seconds. */
    private static final long ANSWER_TIMEOUT_MS = 2300;

    private static final long CONNECT_TIMEOUT_MS = 500;
    /** How long the watch's idle connection is kept; far longer than its pauses, as each answer leads to a request. */
    private static final long WATCH_KEEP_ALIVE_MS = 1_000_000;
    /** No idle connection is kept for fetches: each opens its own. */
    private static final long FETCH_KEEP_ALIVE_MS = 0;

    private static final int MAX_LIST_BYTES = 1 << 20;

    private final EventLoop loop;
    private final PlatformCodec codec;
    private final HttpCaller watchCaller;
    private final HttpCaller fetchCaller;
    private final Map<String, InetSocketAddress> addresses = new ConcurrentHashMap<>();
    private InetSocketAddress discovery;
    /** Generation of the newest list received. */
    private long version;

    private boolean watching;
    /** Number of the current watch, so that answers to an earlier one are ignored. */
    private long watchId;

    DiscoveryClient(
            Net net, EventLoop loop, PlatformCodec codec, InetSocketAddress discovery, PlatformCodec.Listing known) {
        this.loop = loop;
        this.codec = codec;
        this.discovery = discovery;
        this.watchCaller = new HttpCaller(net, CONNECT_TIMEOUT_MS, WATCH_KEEP_ALIVE_MS, MAX_LIST_BYTES, true);
        this.fetchCaller = new HttpCaller(net, CONNECT_TIMEOUT_MS, FETCH_KEEP_ALIVE_MS, MAX_LIST_BYTES, true);
        this.version = known.version();
        addresses.putAll(known.addresses());
    }

    /** Returns the address of a backend for probes, or null if unknown; may be called from any thread. */
    InetSocketAddress address(String server) {
        return addresses.get(server);
    }

    /** Uses another discovery address from now on; a running watch is restarted there. */
    void moveTo(InetSocketAddress address) {
        if (!address.equals(discovery)) {
            discovery = address;
            if (watching) {
                setWatching(false);
                setWatching(true);
            }
        }
    }

    void setWatching(boolean on) {
        if (on && !watching) {
            watching = true;
            // With no hold, the first request is answered at once: the controller waits for that answer.
            poll(++watchId, 0);
        } else if (!on && watching) {
            watching = false;
            watchId++;
            watchCaller.close();
        }
    }

    private void poll(long watch, long holdMs) {
        long since = version;
        byte[] request = get("/api/targets?from=" + since + "&hold_ms=" + holdMs);
        watchCaller.call(
                discovery,
                request,
                holdMs + ANSWER_TIMEOUT_MS,
                result -> loop.execute(() -> {
                    if (watch == watchId && watching) {
                        handleWatchAnswer(watch, result, holdMs == 0, since);
                    }
                }));
    }

    private void handleWatchAnswer(long watch, HttpCaller.CallResult result, boolean first, long since) {
        try {
            PlatformCodec.Listing listing = decode(result);
            if (generationRestarted(listing, since) && listing.list().kind() != Event.ListKind.WHOLE) {
                requestCompleteList(watch);
                return;
            }
            if (first || !listing.list().entries().isEmpty() || listing.list().kind() == Event.ListKind.WHOLE) {
                accept(listing);
            }
            // Only now is the version up to date: a request with the old one would return the same answer at once.
            poll(watch, HOLD_MS);
            loop.counters().increment("discovery.answers");
        } catch (ProtocolException | IOException failure) {
            setWatching(false);
            reportFailure(failure);
        }
    }

    /**
     * Returns whether discovery restarted its generation counter. An answer with a lower generation than the request's
     * cannot be a late one.
     */
    private boolean generationRestarted(PlatformCodec.Listing listing, long since) {
        if (listing.version() >= since) {
            return false;
        }
        loop.counters().incrementAndLog("discovery.began_anew", "generation " + listing.version() + " after " + since);
        version = 0;
        return true;
    }

    /** Requests the complete list, as changes cannot be applied without their base; then the watch continues. */
    private void requestCompleteList(long watch) {
        watchCaller.call(
                discovery,
                get("/api/targets"),
                ANSWER_TIMEOUT_MS,
                result -> loop.execute(() -> {
                    if (watch == watchId && watching) {
                        handleWatchAnswer(watch, result, true, 0);
                    }
                }));
    }

    private void reportFailure(Exception failure) {
        loop.counters().incrementAndLog("discovery.failed", failure.getMessage());
        loop.enqueue(new Event.ServerList(Event.ListKind.BROKEN, List.of()));
    }

    /** Requests the complete list once, independent of the watch. */
    void fetchList() {
        long since = version;
        fetchCaller.call(
                discovery,
                get("/api/targets"),
                ANSWER_TIMEOUT_MS,
                result -> loop.execute(() -> {
                    try {
                        PlatformCodec.Listing listing = decode(result);
                        generationRestarted(listing, since);
                        if (!accept(listing)) {
                            // A newer answer of the watch came first, but the controller still waits for a complete
                            // list.
                            fetchList();
                        }
                    } catch (ProtocolException | IOException failure) {
                        reportFailure(failure);
                    }
                }));
    }

    private PlatformCodec.Listing decode(HttpCaller.CallResult result) throws IOException {
        if (result.answer() == null) {
            throw new IOException(result.failure());
        }
        if (!result.answer().first().equals("200")) {
            throw new IOException("HTTP status " + result.answer().first());
        }
        return codec.decodeListing(Configuration.json(result.answer().body()));
    }

    /** Passes the list on to the controller and returns true, or returns false if a newer one was received before. */
    private boolean accept(PlatformCodec.Listing listing) {
        if (listing.version() < version) {
            loop.counters().increment("discovery.older");
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
        loop.enqueue(listing.list());
        return true;
    }

    private byte[] get(String target) {
        return ("GET " + target + " HTTP/1.1\r\nhost: " + Net.formatAddress(discovery) + "\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
    }
}
