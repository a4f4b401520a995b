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
import puffinbarrow.audit.Recorder;
import puffinbarrow.audit.Seen;
import puffinbarrow.control.Event;
import puffinbarrow.net.Link;
import puffinbarrow.net.Net;
import puffinbarrow.proto.Frame;
import puffinbarrow.proto.FrameReader;
import puffinbarrow.proto.FrameWriter;

/**
 * A stand-in list of backends: each coordinator hears of a change late, by a delay of its own, pushed or after asking.
 * It can lie (call living servers gone) and break a stream in the middle of a list. Guarded by this.
 */
public final class Registry implements AutoCloseable {
    private final Net net;
    private final Recorder recorder;
    private final UniformRandomProvider chance;
    private final long leastLateNs, mostLateNs;
    private final Net.Listener listener;
    private final TreeMap<String, Event.Entry> entries = new TreeMap<>();
    private final Map<Integer, Stream> streams = new TreeMap<>();
    private long version;
    private boolean breakNext;

    public Registry(Net net, Recorder recorder, UniformRandomProvider chance, long leastLateNs, long mostLateNs)
            throws IOException {
        this.net = net;
        this.recorder = recorder;
        this.chance = chance;
        this.leastLateNs = leastLateNs;
        this.mostLateNs = mostLateNs;
        this.listener = net.listen(new InetSocketAddress("127.0.0.1", 0), 8 << 20, channel -> new Stream());
    }

    public InetSocketAddress address() {
        return listener.address();
    }

    /** States an entry; coordinators hear of it late. */
    public void set(Event.Entry entry) {
        set(List.of(entry));
    }

    /** States entries at one time: they are told together. */
    public synchronized void set(List<Event.Entry> changed) {
        version++;
        for (Event.Entry entry : changed) {
            if (entry.listed() == Event.Listed.GONE) {
                entries.remove(entry.server());
            } else {
                entries.put(entry.server(), entry);
            }
        }
        streams.values().forEach(s -> s.change(changed));
    }

    public synchronized Event.Entry entry(String server) {
        return entries.get(server);
    }

    public synchronized List<Event.Entry> entries() {
        return new ArrayList<>(entries.values());
    }

    /** The next list that goes out is cut in the middle of its frame and the stream closed. */
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
        private final FrameReader reader = new FrameReader(1 << 20, this::frame);
        private Link link;
        private int coordinator = -1;
        private boolean follows;
        private boolean sentWhole;
        /** What this coordinator has not been told, in order; told together when the first is due. */
        private final LinkedHashMap<String, Event.Entry> untold = new LinkedHashMap<>();

        private boolean due;

        @Override
        public void received(Link from, ByteBuffer bytes) {
            link = from;
            reader.feed(bytes);
        }

        private void frame(Frame frame) {
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
                        tell(
                                sentWhole ? Event.ListKind.WHOLE : Event.ListKind.STALE_COPY,
                                new ArrayList<>(entries.values()));
                        sentWhole = true;
                    }
                }
            } else if (frame instanceof Frame.Fetch) {
                synchronized (Registry.this) {
                    tell(Event.ListKind.WHOLE, new ArrayList<>(entries.values()));
                }
            } else if (frame instanceof Frame.Ping ping) {
                send(new Frame.Pong(ping.number()));
            }
        }

        private void change(List<Event.Entry> changed) {
            if (!follows) {
                return;
            }
            changed.forEach(e -> untold.put(e.server(), e));
            if (!due) {
                due = true;
                long late = leastLateNs + (long) ((mostLateNs - leastLateNs) * chance.nextDouble());
                net.timer().schedule(this::tellDue, late, TimeUnit.NANOSECONDS);
            }
        }

        private void tellDue() {
            synchronized (Registry.this) {
                due = false;
                if (follows && !untold.isEmpty()) {
                    tell(Event.ListKind.PATCH, new ArrayList<>(untold.values()));
                    untold.clear();
                }
            }
        }

        private void tell(Event.ListKind kind, List<Event.Entry> list) {
            ByteBuffer bytes = FrameWriter.one(new Frame.ServerList(kind, version, list));
            if (breakNext) {
                breakNext = false;
                bytes.limit(bytes.limit() / 2);
                link.send(bytes);
                link.closeWhenSent();
                return;
            }
            recorder.add(new Seen.ListTold(System.nanoTime(), coordinator, kind, list));
            link.send(bytes);
        }

        private void send(Frame frame) {
            link.send(FrameWriter.one(frame));
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
