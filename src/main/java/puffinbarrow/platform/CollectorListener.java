package puffinbarrow.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.function.Predicate;
import puffinbarrow.control.Event;
import puffinbarrow.net.ClientMemory;
import puffinbarrow.net.Link;
import puffinbarrow.net.Net;
import puffinbarrow.resp.RespException;
import puffinbarrow.resp.RespReader;
import puffinbarrow.resp.RespWriter;

/**
 * Server on the coordinator's own address. Collectors connect, join by naming their zone, and send reports. Any client
 * may send a heartbeat, {@code hb}, before or after joining. Every other client is answered with {@code reject} and
 * closed. The platform requires an answer to a client within three seconds, and allows a connection that has not joined
 * to be closed after one second; so no such connection holds a socket for long. All clients together may make the
 * process hold only so much memory; beyond that, the one that holds most is rejected. Runs on the network threads.
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
    /** How long a rejected client may take to read its answer; after that its connection is closed without. */
    private static final long MAX_LINGER_NS = 500_000_000L;
    /** What a connection may hold before joining however full the budget is: enough for a heartbeat. */
    private static final int UNJOINED_ALLOWANCE_BYTES = 4 * 1024;
    /** The same for a collector that has joined: its reads at full size and an ordinary report. */
    private static final int JOINED_ALLOWANCE_BYTES = 32 * 1024;

    private static final byte[] HEARTBEAT_ANSWER = RespWriter.array("hb_ok").array();
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
    /** Rejected connections whose answer is not sent yet, oldest first; guarded by {@link #unjoined}. */
    private final LinkedHashSet<Connection> closing = new LinkedHashSet<>();

    private final ClientMemory memory;

    /**
     * @param maxUnjoined how many connections may be open without having joined; beyond that, the oldest is rejected
     * @param memory bounds what all connections together make the process hold
     */
    CollectorListener(
            Net net, PlatformCodec codec, Sink sink, CounterRegistry counters, int maxUnjoined, ClientMemory memory) {
        this.net = net;
        this.memory = memory;
        this.codec = codec;
        this.sink = sink;
        this.counters = counters;
        this.maxUnjoined = maxUnjoined;
    }

    /** Binds the socket; no client is answered until {@link Net.Listener#accept} is called. */
    Net.Listener bind(InetSocketAddress address) throws IOException {
        Net.Listener listener = net.bind(address, MAX_UNSENT_BYTES, channel -> new Connection());
        net.schedule(JOIN_CHECK_MS, this::checkConnections);
        return listener;
    }

    /** Rejects what has not joined in time, closes what does not read its answer, and counts the memory held anew. */
    private void checkConnections() {
        long now = System.nanoTime();
        rejectOldestWhile(connection -> now - connection.openedNs > JOIN_TIMEOUT_NS, "not joined in time");
        closeRejectedWhile(connection -> now - connection.rejectedNs > MAX_LINGER_NS);
        memory.updateAll();
        net.schedule(JOIN_CHECK_MS, this::checkConnections);
    }

    /** Closes the connection that was rejected first for as long as it satisfies the condition. */
    private void closeRejectedWhile(Predicate<Connection> condition) {
        while (true) {
            Connection oldest;
            synchronized (unjoined) {
                oldest = closing.stream().findFirst().orElse(null);
                if (oldest == null || !condition.test(oldest)) {
                    return;
                }
                closing.remove(oldest);
            }
            oldest.closeNow();
        }
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

    private final class Connection implements Link.Receiver, ClientMemory.Client {
        /** Parser of the current message; null once rejected, as no more is read then. */
        private volatile RespReader reader = new RespReader(MAX_UNJOINED_MESSAGE_BYTES, this::handleMessage);

        private final long openedNs = System.nanoTime();
        private volatile long rejectedNs;
        private volatile Link link;
        private volatile boolean isJoined;
        /** Whether the sink asked this connection to stop reading. */
        private boolean sinkFull;

        private volatile boolean rejected;
        /** Heartbeats of the current read that are not answered yet; answered together, as most come alone. */
        private int unansweredHeartbeats;

        Connection() {
            synchronized (unjoined) {
                unjoined.addLast(this);
            }
            rejectOldestWhile(connection -> unjoined.size() > maxUnjoined, "too many strangers");
            closeRejectedWhile(connection -> unjoined.size() + closing.size() > maxUnjoined);
        }

        @Override
        public void opened(Link opened) {
            opened.growReadBuffer(false);
            link = opened;
            if (rejected) {
                opened.close();
                return;
            }
            memory.update(this);
        }

        @Override
        public void received(Link from, ByteBuffer bytes) {
            RespReader current = reader;
            if (current == null) {
                return;
            }
            try {
                current.feed(bytes);
                answerHeartbeats();
            } catch (RespException malformed) {
                counters.incrementAndLog("streams.unreadable", malformed.getMessage());
                rejectSender(malformed.getMessage());
            }
            if (!rejected) {
                memory.update(this);
            }
            if (sinkFull && !rejected) {
                sinkFull = false;
                from.pauseReading(true);
                sink.resumeWhenDrained(() -> from.pauseReading(false));
            }
        }

        @Override
        public long heldBytes() {
            if (link.ended()) {
                return 0;
            }
            RespReader current = reader;
            return ClientMemory.CONNECTION_OVERHEAD_BYTES
                    + link.heldBytes()
                    + (current == null ? 0 : current.heldBytes());
        }

        @Override
        public long allowanceBytes() {
            return isJoined ? JOINED_ALLOWANCE_BYTES : UNJOINED_ALLOWANCE_BYTES;
        }

        @Override
        public boolean expendable() {
            return !isJoined;
        }

        @Override
        public void evict() {
            counters.increment("streams.over_budget");
            reject("too much held for all clients");
            closeNow();
        }

        private void handleMessage(List<String> message) {
            if (rejected) {
                return;
            }
            String type = message.isEmpty() ? "" : message.get(0);
            if (type.equals("hb")) {
                counters.increment("signs_of_life");
                unansweredHeartbeats++;
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
                rejectSender("a stranger may say hb or telemetry");
            }
        }

        private void answerHeartbeats() {
            if (unansweredHeartbeats == 0) {
                return;
            }
            ByteBuffer answers = ByteBuffer.allocate(unansweredHeartbeats * HEARTBEAT_ANSWER.length);
            while (answers.hasRemaining()) {
                answers.put(HEARTBEAT_ANSWER);
            }
            unansweredHeartbeats = 0;
            link.send(answers.flip());
        }

        private void join(List<String> message) {
            try {
                codec.zone(PlatformCodec.fields(message));
            } catch (ProtocolException invalid) {
                counters.incrementAndLog("streams.rejected", invalid.getMessage());
                rejectSender(invalid.getMessage());
                return;
            }
            RespReader current = reader;
            if (current == null) {
                return;
            }
            isJoined = true;
            current.limit(MAX_COLLECTOR_MESSAGE_BYTES);
            link.growReadBuffer(true);
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

        /** Rejects the client for the message just read, after the answers to earlier ones. */
        private void rejectSender(String reason) {
            answerHeartbeats();
            reject(reason);
        }

        /** Answers with the reason and closes once that is sent; what was received is given up. */
        private void reject(String reason) {
            synchronized (unjoined) {
                if (rejected) {
                    return;
                }
                rejected = true;
                rejectedNs = System.nanoTime();
                unjoined.remove(this);
                joined.remove(this);
                if (link != null) {
                    closing.add(this);
                }
            }
            counters.increment("streams.turned_away");
            Link open = link;
            if (open != null) {
                reader = null;
                open.send(RespWriter.array("reject", "why", reason));
                open.closeWhenSent();
            }
        }

        /** Closes, whether or not the client has taken all that was sent. */
        private void closeNow() {
            Link open = link;
            if (open != null) {
                open.close();
            }
        }

        @Override
        public void ended(Link from, Link.Cause cause, String detail) {
            synchronized (unjoined) {
                unjoined.remove(this);
                joined.remove(this);
                closing.remove(this);
            }
            memory.remove(this);
        }
    }
}
