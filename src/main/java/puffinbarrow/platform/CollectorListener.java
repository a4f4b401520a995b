package puffinbarrow.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.List;
import java.util.function.Predicate;
import puffinbarrow.control.Event;
import puffinbarrow.net.Link;
import puffinbarrow.net.Net;
import puffinbarrow.resp.RespException;
import puffinbarrow.resp.RespReader;
import puffinbarrow.resp.RespWriter;

/**
 * Server on the coordinator's own address. Collectors connect, join by naming their zone, and send reports. Any client
 * may send a heartbeat, {@code hb}, before or after joining. Every other client is answered with {@code reject} and
 * closed. The platform requires an answer to a client within three seconds, and allows a connection that has not joined
 * to be closed after one second; so no such connection holds a socket for long. Runs on the network threads.
 */
final class CollectorListener {
    /** Receives the valid reports; called on the network threads. */
    interface Sink {
        /** Takes the report in any case; returns false if the connection is to stop reading. */
        boolean offer(Event report);

        /** Runs the callback once a connection that stopped reading may go on. */
        void resumeWhenDrained(Runnable resume);
    }

    /** Longest message before joining: joining and heartbeats are short. */
    private static final int MAX_UNJOINED_MESSAGE_BYTES = 4096;
    /** Longest message of a collector that has joined. */
    private static final int MAX_COLLECTOR_MESSAGE_BYTES = 1 << 20;
    /** Limit of the send buffer: heartbeat answers that the client requests but does not read. */
    private static final int MAX_UNSENT_BYTES = 16 * 1024;
    /**
     * Time to join. Above the one second after which an unjoined connection may be closed, and well below the three
     * seconds within which it must be answered.
     */
    private static final long JOIN_TIMEOUT_NS = 1_400_000_000L;
    /** Interval at which the time to join is checked. */
    private static final long JOIN_CHECK_MS = 200;
    /** There is one collector per zone; further joined connections are left over from earlier ones. */
    private static final int MAX_JOINED = 32;

    private final PlatformCodec codec;
    private final Sink sink;
    private final CounterRegistry counters;
    private final int maxUnjoined;
    private final Net net;
    /** Open connections that have not joined, oldest first; guarded by itself. */
    private final ArrayDeque<Connection> unjoined = new ArrayDeque<>();
    /** Open connections that have joined, oldest first; guarded by {@link #unjoined}. */
    private final ArrayDeque<Connection> joined = new ArrayDeque<>();

    /**
     * @param maxUnjoined how many connections may be open without having joined; beyond that, the oldest is rejected
     */
    CollectorListener(Net net, PlatformCodec codec, Sink sink, CounterRegistry counters, int maxUnjoined) {
        this.net = net;
        this.codec = codec;
        this.sink = sink;
        this.counters = counters;
        this.maxUnjoined = maxUnjoined;
    }

    /** Binds the socket; no client is answered until {@link Net.Listener#accept} is called. */
    Net.Listener bind(InetSocketAddress address) throws IOException {
        Net.Listener listener = net.bind(address, MAX_UNSENT_BYTES, channel -> new Connection());
        net.schedule(JOIN_CHECK_MS, this::rejectOverdue);
        return listener;
    }

    private void rejectOverdue() {
        long now = System.nanoTime();
        rejectOldestWhile(connection -> now - connection.openedNs > JOIN_TIMEOUT_NS, "not joined in time");
        net.schedule(JOIN_CHECK_MS, this::rejectOverdue);
    }

    /** Rejects the oldest unjoined connection for as long as it satisfies the condition. */
    private void rejectOldestWhile(Predicate<Connection> condition, String reason) {
        while (true) {
            Connection oldest;
            synchronized (unjoined) {
                oldest = unjoined.peekFirst();
                if (oldest == null || !condition.test(oldest)) {
                    return;
                }
                unjoined.pollFirst();
            }
            oldest.reject(reason);
        }
    }

    private final class Connection implements Link.Receiver {
        private final RespReader reader = new RespReader(MAX_UNJOINED_MESSAGE_BYTES, this::handleMessage);
        private final long openedNs = System.nanoTime();
        private volatile Link link;
        private boolean isJoined;
        /** Whether the sink asked this connection to stop reading. */
        private boolean sinkFull;

        private volatile boolean rejected;

        Connection() {
            synchronized (unjoined) {
                unjoined.addLast(this);
            }
            rejectOldestWhile(connection -> unjoined.size() > maxUnjoined, "too many strangers");
        }

        @Override
        public void opened(Link opened) {
            link = opened;
            if (rejected) {
                opened.close();
            }
        }

        @Override
        public void received(Link from, ByteBuffer bytes) {
            if (rejected) {
                return;
            }
            try {
                reader.feed(bytes);
            } catch (RespException malformed) {
                counters.incrementAndLog("streams.unreadable", malformed.getMessage());
                reject(malformed.getMessage());
            }
            if (sinkFull && !rejected) {
                sinkFull = false;
                from.pauseReading(true);
                sink.resumeWhenDrained(() -> from.pauseReading(false));
            }
        }

        private void handleMessage(List<String> message) {
            if (rejected) {
                return;
            }
            String type = message.isEmpty() ? "" : message.get(0);
            if (type.equals("hb")) {
                counters.increment("signs_of_life");
                link.send(RespWriter.array("hb_ok"));
            } else if (isJoined) {
                try {
                    sinkFull |= !sink.offer(codec.decodeReport(message));
                } catch (ProtocolException invalid) {
                    // The connection stays open, as its other messages may be valid.
                    counters.incrementAndLog(
                            "reports.refused",
                            invalid.getMessage() + " in " + PlatformCodec.abbreviate(message.toString()));
                }
            } else if (type.equals("telemetry")) {
                join(message);
            } else {
                counters.incrementAndLog(
                        "streams.rejected", "first message " + PlatformCodec.abbreviate(message.toString()));
                reject("a stranger may say hb or telemetry");
            }
        }

        private void join(List<String> message) {
            try {
                codec.zone(PlatformCodec.fields(message));
            } catch (ProtocolException invalid) {
                counters.incrementAndLog("streams.rejected", invalid.getMessage());
                reject(invalid.getMessage());
                return;
            }
            isJoined = true;
            reader.limit(MAX_COLLECTOR_MESSAGE_BYTES);
            Connection oldest = null;
            synchronized (unjoined) {
                unjoined.remove(this);
                joined.addLast(this);
                if (joined.size() > MAX_JOINED) {
                    oldest = joined.pollFirst();
                }
            }
            counters.increment("collectors.joined");
            if (oldest != null) {
                oldest.link.close();
            }
        }

        private void reject(String reason) {
            rejected = true;
            counters.increment("streams.turned_away");
            Link open = link;
            if (open != null) {
                open.send(RespWriter.array("reject", "why", reason));
                open.closeWhenSent();
            }
        }

        @Override
        public void ended(Link from, Link.Cause cause, String detail) {
            synchronized (unjoined) {
                unjoined.remove(this);
                joined.remove(this);
            }
        }
    }
}
