package puffinbarrow.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import puffinbarrow.audit.Recorder;
import puffinbarrow.audit.Seen;
import puffinbarrow.control.Order;
import puffinbarrow.net.Link;
import puffinbarrow.net.Net;
import puffinbarrow.proto.Frame;
import puffinbarrow.proto.FrameReader;
import puffinbarrow.proto.FrameWriter;

/**
 * A stand-in table store: it keeps one table for each slice, gives each slice into the charge of one coordinator, and
 * hands it to another some time after the first one's stream ended, back once that one has returned. Proxies read
 * tables and owners from it. Writes of a coordinator that is not in charge are refused and counted. Guarded by this.
 */
public final class Store implements AutoCloseable {
    private final Net net;
    private final Recorder recorder;
    private final int slices, coordinators;
    private final boolean soleOwner;
    private final long takeoverMs;
    private final Net.Listener listener;
    private final TreeMap<Integer, TreeMap<String, Double>> tables = new TreeMap<>();
    private final int[] owner;
    private final Map<Integer, Stream> holders = new TreeMap<>();
    private final Set<Stream> readers = new HashSet<>();
    private long refusedWrites;
    private long handed;

    public Store(Net net, Recorder recorder, int slices, int coordinators, boolean soleOwner, long takeoverMs)
            throws IOException {
        this.net = net;
        this.recorder = recorder;
        this.slices = slices;
        this.coordinators = coordinators;
        this.soleOwner = soleOwner;
        this.takeoverMs = takeoverMs;
        this.owner = new int[slices];
        java.util.Arrays.fill(owner, -1);
        this.listener = net.listen(new InetSocketAddress("127.0.0.1", 0), 8 << 20, channel -> new Stream());
    }

    public InetSocketAddress address() {
        return listener.address();
    }

    public synchronized void begin(int slice, String server) {
        tables.put(slice, new TreeMap<>(Map.of(server, 1.0)));
    }

    public synchronized Map<String, Double> table(int slice) {
        return new TreeMap<>(tables.getOrDefault(slice, new TreeMap<>()));
    }

    public synchronized int owner(int slice) {
        return owner[slice];
    }

    public synchronized long refusedWrites() {
        return refusedWrites;
    }

    /** How often a slice changed hands after its first giving. */
    public synchronized long handed() {
        return handed;
    }

    @Override
    public void close() {
        listener.close();
        List<Stream> open = new ArrayList<>();
        synchronized (this) {
            open.addAll(holders.values());
            open.addAll(readers);
        }
        open.forEach(s -> s.link.close());
    }

    /** Deals the slices evenly over the coordinators that are there. */
    private void deal() {
        if (holders.isEmpty()) {
            return;
        }
        List<Integer> there = new ArrayList<>(holders.keySet());
        for (int slice = 0; slice < slices; slice++) {
            int usual = slice % coordinators;
            int to = holders.containsKey(usual) ? usual : there.get(slice % there.size());
            if (owner[slice] == to) {
                continue;
            }
            Stream before = holders.get(owner[slice]);
            if (before != null) {
                charge(before, slice, false);
            }
            handed += owner[slice] >= 0 ? 1 : 0;
            owner[slice] = to;
            charge(holders.get(to), slice, true);
            for (Stream reader : readers) {
                tellOwner(reader, slice);
            }
        }
    }

    private void charge(Stream to, int slice, boolean given) {
        recorder.add(new Seen.ChargeTold(System.nanoTime(), to.number, slice, given));
        to.send(new Frame.Charge(slice, given));
        if (given) {
            to.send(stored(slice));
        }
    }

    private Frame.Stored stored(int slice) {
        List<Frame.Line> lines = new ArrayList<>();
        tables.getOrDefault(slice, new TreeMap<>()).forEach((s, w) -> lines.add(new Frame.Line(s, w)));
        return new Frame.Stored(slice, lines);
    }

    private void tellOwner(Stream reader, int slice) {
        reader.send(new Frame.Owner(slice, owner[slice]));
        reader.send(stored(slice));
    }

    private void write(Stream from, Frame.Orders orders) {
        for (Order order : orders.orders()) {
            if (order instanceof Order.SetLine o && o.table() >= 0 && o.table() < slices) {
                if (owner[o.table()] != from.number) {
                    refusedWrites++;
                    continue;
                }
                TreeMap<String, Double> table = tables.computeIfAbsent(o.table(), t -> new TreeMap<>());
                if (soleOwner && o.weight() > 0) {
                    table.clear();
                }
                table.compute(o.server(), (s, was) -> o.weight() > 0 ? o.weight() : null);
            } else if (order instanceof Order.ClearTable o && o.table() >= 0 && o.table() < slices
                    && owner[o.table()] == from.number) {
                tables.remove(o.table());
            }
        }
    }

    private final class Stream implements Link.Receiver {
        private final FrameReader reader = new FrameReader(8 << 20, this::frame);
        private volatile Link link;
        private int number = -1;
        private boolean holds;

        @Override
        public void received(Link from, ByteBuffer bytes) {
            link = from;
            reader.feed(bytes);
        }

        private void frame(Frame frame) {
            synchronized (Store.this) {
                if (frame instanceof Frame.Hello hello) {
                    number = hello.number();
                    holds = hello.role() == Frame.Role.COORDINATOR;
                    send(new Frame.Welcome(Frame.MINOR, 0, 0));
                    if (holds) {
                        welcomeHolder();
                    } else {
                        readers.add(this);
                    }
                } else if (frame instanceof Frame.ReadSlice read) {
                    for (int slice = 0; slice < slices; slice++) {
                        if (read.slice() < 0 || read.slice() == slice) {
                            tellOwner(this, slice);
                        }
                    }
                } else if (frame instanceof Frame.Orders orders && holds) {
                    write(this, orders);
                } else if (frame instanceof Frame.Ping ping) {
                    send(new Frame.Pong(ping.number()));
                }
            }
        }

        /** A stream of one whose slices are still its own: what it holds is stated again, then all is dealt. */
        private void welcomeHolder() {
            Stream before = holders.put(number, this);
            for (int slice = 0; slice < slices; slice++) {
                if (owner[slice] == number) {
                    charge(this, slice, true);
                } else if (before == null) {
                    // One that held it before its stream broke must not go on believing so.
                    send(new Frame.Charge(slice, false));
                }
            }
            deal();
        }

        private void send(Frame frame) {
            Link to = link;
            if (to != null) {
                to.send(FrameWriter.one(frame));
            }
        }

        @Override
        public void ended(Link from, Link.Cause cause, String detail) {
            synchronized (Store.this) {
                readers.remove(this);
                if (holds && holders.remove(number, this)) {
                    net.schedule(takeoverMs, () -> {
                        synchronized (Store.this) {
                            deal();
                        }
                    });
                }
            }
        }
    }
}
