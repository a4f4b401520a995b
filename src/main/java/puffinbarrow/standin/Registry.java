package puffinbarrow.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import puffinbarrow.audit.Observation;
import puffinbarrow.audit.Recorder;
import puffinbarrow.control.Event;
import puffinbarrow.net.Link;
import puffinbarrow.net.Net;
import puffinbarrow.proto.Frame;
import puffinbarrow.proto.FrameReader;
import puffinbarrow.proto.FrameWriter;

/**
 * A stand-in registry for scripted days and tests: each coordinator is notified of a change after a random delay of its
 * own, by push or on request. It lists the entries that it is given without checking them, and can break a stream in
 * the middle of a list. Frames arrive on the threads of {@link Net}; all state is guarded by {@code this}.
 */
public final class Registry implements AutoCloseable {
    private final Net net;
    private final Recorder recorder;
    private final UniformRandomProvider random;
    private final long minDelayNs;
    private final long maxDelayNs;
    private final Net.Listener listener;
    private final TreeMap<String, Event.Entry> entries = new TreeMap<>();
    /** Streams by coordinator. */
    private final Map<Integer, Stream> streams = new TreeMap<>();

    private long version;
    private boolean breakNext;

    /** Listens at once; changes are sent between {@code minDelayNs} and {@code maxDelayNs} later. */
    public Registry(Net net, Recorder recorder, UniformRandomProvider random, long minDelayNs, long maxDelayNs)
            throws IOException {
        this.net = net;
        this.recorder = recorder;
        this.random = random;
        this.minDelayNs = minDelayNs;
        this.maxDelayNs = maxDelayNs;
        this.listener = net.listen(new InetSocketAddress("127.0.0.1", 0), 8 << 20, channel -> new Stream());
    }

    public InetSocketAddress address() {
        return listener.address();
    }

    /** Adds, changes or removes an entry; coordinators are notified after their delay. */
    public void update(Event.Entry entry) {
        update(List.of(entry));
    }

    /** Adds, changes or removes entries; coordinators are notified of all of them together. */
    public synchronized void update(List<Event.Entry> changed) {
        version++;
        for (Event.Entry entry : changed) {
            if (entry.listed() == Event.Listed.GONE) {
                entries.remove(entry.server());
            } else {
                entries.put(entry.server(), entry);
            }
        }
        streams.values().forEach(s -> s.onChange(changed));
    }

    /** Returns the entry of the server; null if there is none. */
    public synchronized Event.Entry entry(String server) {
        return entries.get(server);
    }

    public synchronized List<Event.Entry> entries() {
        return new ArrayList<>(entries.values());
    }

    /** Cuts the next list in the middle of its frame and closes the stream. */
    public synchronized void breakNextList() {
        breakNext = true;
    }

    @Override
    public void close() {
        listener.close();
        List<Stream> open;
        synchronized (this) {
            open = List.copyOf(streams.values());
        }
        open.forEach(s -> s.link.close());
    }

    private final class Stream implements Link.Receiver {
        private final FrameReader reader = new FrameReader(1 << 20, this::onFrame);
        private Link link;
        private int coordinator = -1;
        /** The coordinator has requested that changes be pushed. */
        private boolean follows;
        /** A complete list was sent on this stream; the first one counts as a stale copy. */
        private boolean sentWhole;
        /** Changes that are not sent yet, in order; sent together when the first is due. */
        private final LinkedHashMap<String, Event.Entry> pendingChanges = new LinkedHashMap<>();

        /** The sending of {@link #pendingChanges} is scheduled. */
        private boolean scheduled;

        @Override
        public void received(Link from, ByteBuffer bytes) {
            link = from;
            reader.feed(bytes);
        }

        private void onFrame(Frame frame) {
            if (frame instanceof Frame.Hello hello) {
                synchronized (Registry.this) {
                    coordinator = hello.number();
                    streams.put(coordinator, this);
                }
                send(new Frame.Welcome(Frame.MINOR, 0, 0));
            } else if (frame instanceof Frame.Follow follow) {
                synchronized (Registry.this) {
                    follows = follow.on();
                    if (follows) {
                        sendList(
                                sentWhole ? Event.ListKind.WHOLE : Event.ListKind.STALE_COPY,
                                new ArrayList<>(entries.values()));
                        sentWhole = true;
                    }
                }
            } else if (frame instanceof Frame.Fetch) {
                synchronized (Registry.this) {
                    sendList(Event.ListKind.WHOLE, new ArrayList<>(entries.values()));
                }
            } else if (frame instanceof Frame.Ping ping) {
                send(new Frame.Pong(ping.number()));
            }
        }

        private void onChange(List<Event.Entry> changed) {
            if (!follows) {
                return;
            }
            changed.forEach(e -> pendingChanges.put(e.server(), e));
            if (!scheduled) {
                scheduled = true;
                long delayNs = minDelayNs + (long) ((maxDelayNs - minDelayNs) * random.nextDouble());
                net.timer().schedule(this::sendPendingChanges, delayNs, TimeUnit.NANOSECONDS);
            }
        }

        private void sendPendingChanges() {
            synchronized (Registry.this) {
                scheduled = false;
                if (follows && !pendingChanges.isEmpty()) {
                    sendList(Event.ListKind.PATCH, new ArrayList<>(pendingChanges.values()));
                    pendingChanges.clear();
                }
            }
        }

        private void sendList(Event.ListKind kind, List<Event.Entry> list) {
            ByteBuffer bytes = FrameWriter.encode(new Frame.ServerList(kind, version, list));
            if (breakNext) {
                breakNext = false;
                bytes.limit(bytes.limit() / 2);
                link.send(bytes);
                link.closeWhenSent();
                return;
            }
            recorder.add(new Observation.ListSent(System.nanoTime(), coordinator, kind, list));
            link.send(bytes);
        }

        private void send(Frame frame) {
            link.send(FrameWriter.encode(frame));
        }

        @Override
        public void ended(Link from, Link.Cause cause, String detail) {
            synchronized (Registry.this) {
                follows = false;
                streams.remove(coordinator, this);
            }
        }
    }
}
