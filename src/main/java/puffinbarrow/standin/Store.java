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
 * tables and owners from it. Writes of a coordinator that is not in charge are refused and counted. With leases it
 * deals nothing: it keeps records with revisions, written by compare-and-set and watched, and refuses table lines of an
 * older term than the slice's. Guarded by this.
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
    private long moves;
    private final boolean leases;
    private final TreeMap<Integer, Frame.MemberRecord> members = new TreeMap<>();
    private final TreeMap<Integer, Frame.VoiceRecord> voices = new TreeMap<>();
    private long revisions;
    private boolean away;
    private final Set<Integer> cut = new HashSet<>();
    private double loseShare;
    private long slowMs;

    public Store(Net net, Recorder recorder, int slices, int coordinators, boolean soleOwner, long takeoverMs)
            throws IOException {
        this.net = net;
        this.recorder = recorder;
        this.slices = slices;
        this.coordinators = coordinators;
        this.soleOwner = soleOwner;
        this.takeoverMs = takeoverMs;
        this.leases = takeoverMs <= 0;
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

    /** Away: all streams end and new ones are closed, until it is back with its records. */
    public void away(boolean on) {
        List<Stream> open = new ArrayList<>();
        synchronized (this) {
            away = on;
            if (on) {
                open.addAll(holders.values());
                open.addAll(readers);
            }
        }
        open.forEach(s -> s.link.close());
    }

    /** A partition between one coordinator and the store. */
    public void cut(int coordinator, boolean on) {
        Stream open;
        synchronized (this) {
            if (on) {
                cut.add(coordinator);
            } else {
                cut.remove(coordinator);
            }
            open = holders.get(coordinator);
        }
        if (on && open != null) {
            open.link.close();
        }
    }

    /** Loses that share of answers to writes, which took effect all the same. */
    public synchronized void loseAnswers(double share) {
        loseShare = share;
    }

    /** Each answer and each record told waits that long. */
    public synchronized void slow(long ms) {
        slowMs = ms;
    }

    public synchronized long term(int slice) {
        Frame.VoiceRecord voice = voices.get(slice);
        return voice == null ? 0 : voice.term();
    }

    /** Lines that brought a server into a slice's table. */
    public synchronized long moves() {
        return moves;
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
        if (holders.isEmpty() || leases) {
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
        reader.send(new Frame.Owner(slice, owner[slice], term(slice)));
        reader.send(stored(slice));
    }

    /** Writes a member's or a voice's record if its revision is the one expected; tells all who watch. */
    private void compareAndSet(
            Stream from, long id, boolean same, Frame before, java.util.function.LongFunction<Frame> next) {
        if (same) {
            Frame now = next.apply(++revisions);
            if (now instanceof Frame.MemberRecord m) {
                members.put(m.number(), m);
            } else if (now instanceof Frame.VoiceRecord v) {
                voices.put(v.slice(), v);
                voiceChanged(v);
            }
            holders.values().stream().filter(s -> s.watches).forEach(s -> s.tell(now));
        } else if (before != null) {
            from.tell(before);
        }
        if (loseShare == 0 || java.util.concurrent.ThreadLocalRandom.current().nextDouble() >= loseShare) {
            from.tell(new Frame.Written(id, same));
        }
    }

    private void voiceChanged(Frame.VoiceRecord voice) {
        int slice = voice.slice();
        if (owner[slice] >= 0) {
            recorder.add(new Seen.ChargeTold(System.nanoTime(), owner[slice], slice, false));
            handed += owner[slice] == voice.owner() ? 0 : 1;
        }
        owner[slice] = voice.owner();
        recorder.add(new Seen.ChargeTold(System.nanoTime(), voice.owner(), slice, true));
        for (Stream reader : readers) {
            tellOwner(reader, slice);
        }
    }

    private void write(Stream from, Frame.Orders orders) {
        Map<Integer, Long> terms = new TreeMap<>();
        orders.terms().forEach(t -> terms.put(t.slice(), t.term()));
        for (Order order : orders.orders()) {
            if (order instanceof Order.SetLine o && o.table() >= 0 && o.table() < slices) {
                if (owner[o.table()] != from.number || leases && terms.getOrDefault(o.table(), 0L) < term(o.table())) {
                    refusedWrites++;
                    if (leases) {
                        from.send(new Frame.Stale(o.table(), term(o.table())));
                    }
                    continue;
                }
                TreeMap<String, Double> table = tables.computeIfAbsent(o.table(), t -> new TreeMap<>());
                moves += o.weight() > 0 && !table.containsKey(o.server()) ? 1 : 0;
                if (soleOwner && o.weight() > 0) {
                    table.clear();
                }
                table.compute(o.server(), (s, was) -> o.weight() > 0 ? o.weight() : null);
            } else if (order instanceof Order.ClearTable o
                    && o.table() >= 0
                    && o.table() < slices
                    && owner[o.table()] == from.number
                    && (!leases || terms.getOrDefault(o.table(), 0L) >= term(o.table()))) {
                tables.remove(o.table());
            }
        }
    }

    private final class Stream implements Link.Receiver {
        private final FrameReader reader = new FrameReader(8 << 20, this::frame);
        private volatile Link link;
        private int number = -1;
        private boolean holds;
        private boolean watches;

        @Override
        public void received(Link from, ByteBuffer bytes) {
            link = from;
            reader.feed(bytes);
        }

        private void frame(Frame frame) {
            synchronized (Store.this) {
                if (away
                        || frame instanceof Frame.Hello h
                                && h.role() == Frame.Role.COORDINATOR
                                && cut.contains(h.number())) {
                    link.close();
                } else if (frame instanceof Frame.Hello hello) {
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
                } else if (frame instanceof Frame.Watch && holds) {
                    watches = true;
                    members.values().forEach(this::tell);
                    voices.values().forEach(this::tell);
                    tell(new Frame.Synced());
                } else if (frame instanceof Frame.MemberRecord m && holds) {
                    Frame.MemberRecord before = members.get(m.number());
                    compareAndSet(
                            this,
                            m.id(),
                            m.revision() == (before == null ? 0 : before.revision()),
                            before,
                            revision -> new Frame.MemberRecord(
                                    0,
                                    revision,
                                    m.number(),
                                    m.incarnation(),
                                    m.beat(),
                                    m.settled(),
                                    m.leaving(),
                                    m.dead(),
                                    m.flaps()));
                } else if (frame instanceof Frame.VoiceRecord v && holds && v.slice() >= 0 && v.slice() < slices) {
                    Frame.VoiceRecord before = voices.get(v.slice());
                    compareAndSet(
                            this,
                            v.id(),
                            v.revision() == (before == null ? 0 : before.revision()),
                            before,
                            revision -> new Frame.VoiceRecord(
                                    0, revision, v.slice(), v.owner(), v.incarnation(), v.term()));
                } else if (frame instanceof Frame.Ping ping) {
                    send(new Frame.Pong(ping.number()));
                }
            }
        }

        /** A stream of one whose slices are still its own: what it holds is stated again, then all is dealt. */
        private void welcomeHolder() {
            Stream before = holders.put(number, this);
            if (leases) {
                return;
            }
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

        /** In order, all alike late while it is slow. */
        private void tell(Frame frame) {
            if (slowMs > 0) {
                net.schedule(slowMs, () -> send(frame));
            } else {
                send(frame);
            }
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
                if (holds && holders.remove(number, this) && !leases) {
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
