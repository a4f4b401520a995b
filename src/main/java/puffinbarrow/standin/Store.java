package puffinbarrow.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.LongFunction;
import puffinbarrow.audit.Observation;
import puffinbarrow.audit.Recorder;
import puffinbarrow.control.Order;
import puffinbarrow.net.Link;
import puffinbarrow.net.Net;
import puffinbarrow.proto.Frame;
import puffinbarrow.proto.FrameReader;
import puffinbarrow.proto.FrameWriter;

/**
 * A stand-in table store for scripted days and tests: keeps a table for each slice and puts one coordinator in charge
 * of each. Some time after that coordinator's stream ended it assigns the slice to another one, and back to the first
 * once that has reconnected.
 * Proxies read tables and owners from it. Writes of a coordinator that is not in charge are refused and counted.
 *
 * <p>With leases it assigns no slices: it keeps records with revisions, which coordinators write by compare-and-set and
 * watch, and refuses lines of an older term than the slice's. Frames arrive on the threads of {@link Net}; all state is
 * guarded by {@code this}.
 */
public final class Store implements AutoCloseable {
    private final Net net;
    private final Recorder recorder;
    private final int slices;
    private final int coordinators;
    private final boolean soleOwner;
    private final long takeoverMs;
    private final Net.Listener listener;
    /** Weights of servers, by slice. */
    private final TreeMap<Integer, TreeMap<String, Double>> tables = new TreeMap<>();
    /** The coordinator in charge of each slice; -1: none yet. */
    private final int[] owner;
    /** Streams of coordinators, by their number. */
    private final Map<Integer, Stream> coordinatorStreams = new TreeMap<>();
    /** Streams of proxies. */
    private final Set<Stream> readers = new HashSet<>();

    private long refusedWrites;
    private long ownerChanges;
    private long serversAdded;
    /** Coordinators divide the slices among themselves. */
    private final boolean leases;

    private final TreeMap<Integer, Frame.MemberRecord> members = new TreeMap<>();
    /** Owner and term of each slice; only with leases. */
    private final TreeMap<Integer, Frame.SliceOwnerRecord> ownerships = new TreeMap<>();
    /** The latest revision of any record. */
    private long revisions;

    private boolean unavailable;
    /** Coordinators that cannot reach the store. */
    private final Set<Integer> cut = new HashSet<>();
    /** Share of answers to writes that are lost, 0 to 1. */
    private double loseShare;
    /** Delay of each answer and record. */
    private long delayMs;

    /**
     * Listens at once.
     *
     * @param takeoverMs time from the end of a coordinator's stream until others get its slices; 0 or less: with leases
     */
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
        Arrays.fill(owner, -1);
        this.listener = net.listen(new InetSocketAddress("127.0.0.1", 0), 8 << 20, channel -> new Stream());
    }

    public InetSocketAddress address() {
        return listener.address();
    }

    /** Sets the initial table of a slice: the one server. */
    public synchronized void setInitialTable(int slice, String server) {
        tables.put(slice, new TreeMap<>(Map.of(server, 1.0)));
    }

    /** Returns a copy of the slice's table. */
    public synchronized Map<String, Double> table(int slice) {
        return new TreeMap<>(tables.getOrDefault(slice, new TreeMap<>()));
    }

    /** Returns the coordinator in charge of the slice; -1: none yet. */
    public synchronized int owner(int slice) {
        return owner[slice];
    }

    /** Returns the number of lines refused. */
    public synchronized long refusedWrites() {
        return refusedWrites;
    }

    /** While unavailable, all streams are closed and new ones refused; the records stay. */
    public void setUnavailable(boolean on) {
        List<Stream> open = new ArrayList<>();
        synchronized (this) {
            unavailable = on;
            if (on) {
                open.addAll(coordinatorStreams.values());
                open.addAll(readers);
            }
        }
        open.forEach(s -> s.link.close());
    }

    /** Cuts the network between one coordinator and the store, or restores it. */
    public void cut(int coordinator, boolean on) {
        Stream open;
        synchronized (this) {
            if (on) {
                cut.add(coordinator);
            } else {
                cut.remove(coordinator);
            }
            open = coordinatorStreams.get(coordinator);
        }
        if (on && open != null) {
            open.link.close();
        }
    }

    /** Loses that share of the answers to writes from now on; the writes take effect all the same. */
    public synchronized void loseAnswers(double share) {
        loseShare = share;
    }

    /** Delays each answer and each record by that time from now on. */
    public synchronized void delayAnswers(long ms) {
        delayMs = ms;
    }

    /** Returns the slice's term; 0 without leases or before its first. */
    public synchronized long term(int slice) {
        Frame.SliceOwnerRecord ownership = ownerships.get(slice);
        return ownership == null ? 0 : ownership.term();
    }

    /** Returns how often a server was added to the table of a slice. */
    public synchronized long serversAdded() {
        return serversAdded;
    }

    /** Returns how often a slice came into the charge of another coordinator. */
    public synchronized long ownerChanges() {
        return ownerChanges;
    }

    @Override
    public void close() {
        listener.close();
        List<Stream> open = new ArrayList<>();
        synchronized (this) {
            open.addAll(coordinatorStreams.values());
            open.addAll(readers);
        }
        open.forEach(s -> s.link.close());
    }

    /** Assigns the slices evenly to the coordinators whose streams are up. */
    private void assignSlices() {
        if (coordinatorStreams.isEmpty() || leases) {
            return;
        }
        List<Integer> connected = new ArrayList<>(coordinatorStreams.keySet());
        for (int slice = 0; slice < slices; slice++) {
            int preferred = slice % coordinators;
            int to = coordinatorStreams.containsKey(preferred) ? preferred : connected.get(slice % connected.size());
            if (owner[slice] == to) {
                continue;
            }
            Stream before = coordinatorStreams.get(owner[slice]);
            if (before != null) {
                sendCharge(before, slice, false);
            }
            ownerChanges += owner[slice] >= 0 ? 1 : 0;
            owner[slice] = to;
            sendCharge(coordinatorStreams.get(to), slice, true);
            for (Stream reader : readers) {
                sendOwner(reader, slice);
            }
        }
    }

    /** Notifies a coordinator that it is, or is no longer, in charge of the slice, and sends the table with it. */
    private void sendCharge(Stream to, int slice, boolean given) {
        recorder.add(new Observation.ChargeSent(System.nanoTime(), to.number, slice, given));
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

    /** Sends a proxy the owner and the table of the slice. */
    private void sendOwner(Stream reader, int slice) {
        reader.send(new Frame.Owner(slice, owner[slice], term(slice)));
        reader.send(stored(slice));
    }

    /**
     * Writes a record if its revision is the expected one and sends it to all watching coordinators; else sends the
     * current one to the writer.
     */
    private void compareAndSet(
            Stream from, long id, boolean revisionMatches, Frame before, LongFunction<Frame> update) {
        if (revisionMatches) {
            Frame written = update.apply(++revisions);
            if (written instanceof Frame.MemberRecord m) {
                members.put(m.number(), m);
            } else if (written instanceof Frame.SliceOwnerRecord v) {
                ownerships.put(v.slice(), v);
                ownershipChanged(v);
            }
            coordinatorStreams.values().stream().filter(s -> s.watches).forEach(s -> s.sendDelayed(written));
        } else if (before != null) {
            from.sendDelayed(before);
        }
        if (loseShare == 0 || ThreadLocalRandom.current().nextDouble() >= loseShare) {
            from.sendDelayed(new Frame.Written(id, revisionMatches));
        }
    }

    private void ownershipChanged(Frame.SliceOwnerRecord ownership) {
        int slice = ownership.slice();
        if (owner[slice] >= 0) {
            recorder.add(new Observation.ChargeSent(System.nanoTime(), owner[slice], slice, false));
            ownerChanges += owner[slice] == ownership.owner() ? 0 : 1;
        }
        owner[slice] = ownership.owner();
        recorder.add(new Observation.ChargeSent(System.nanoTime(), ownership.owner(), slice, true));
        for (Stream reader : readers) {
            sendOwner(reader, slice);
        }
    }

    /** Applies the lines for slices that the coordinator is in charge of, and refuses the others. */
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
                serversAdded += o.weight() > 0 && !table.containsKey(o.server()) ? 1 : 0;
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
        private final FrameReader reader = new FrameReader(8 << 20, this::onFrame);
        private volatile Link link;
        private int number = -1;
        private boolean isCoordinator;
        /** Records are sent to it as they change. */
        private boolean watches;

        @Override
        public void received(Link from, ByteBuffer bytes) {
            link = from;
            reader.feed(bytes);
        }

        private void onFrame(Frame frame) {
            synchronized (Store.this) {
                if (unavailable
                        || frame instanceof Frame.Hello h
                                && h.role() == Frame.Role.COORDINATOR
                                && cut.contains(h.number())) {
                    link.close();
                } else if (frame instanceof Frame.Hello hello) {
                    number = hello.number();
                    isCoordinator = hello.role() == Frame.Role.COORDINATOR;
                    send(new Frame.Welcome(Frame.MINOR, 0, 0));
                    if (isCoordinator) {
                        onCoordinatorHello();
                    } else {
                        readers.add(this);
                    }
                } else if (frame instanceof Frame.ReadSlice read) {
                    for (int slice = 0; slice < slices; slice++) {
                        if (read.slice() < 0 || read.slice() == slice) {
                            sendOwner(this, slice);
                        }
                    }
                } else if (frame instanceof Frame.Orders orders && isCoordinator) {
                    write(this, orders);
                } else if (frame instanceof Frame.Watch && isCoordinator) {
                    watches = true;
                    members.values().forEach(this::sendDelayed);
                    ownerships.values().forEach(this::sendDelayed);
                    sendDelayed(new Frame.Synced());
                } else if (frame instanceof Frame.MemberRecord m && isCoordinator) {
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
                                    m.heartbeat(),
                                    m.settled(),
                                    m.leaving(),
                                    m.dead(),
                                    m.flaps()));
                } else if (frame instanceof Frame.SliceOwnerRecord v
                        && isCoordinator
                        && v.slice() >= 0
                        && v.slice() < slices) {
                    Frame.SliceOwnerRecord before = ownerships.get(v.slice());
                    compareAndSet(
                            this,
                            v.id(),
                            v.revision() == (before == null ? 0 : before.revision()),
                            before,
                            revision -> new Frame.SliceOwnerRecord(
                                    0, revision, v.slice(), v.owner(), v.incarnation(), v.term()));
                } else if (frame instanceof Frame.Ping ping) {
                    send(new Frame.Pong(ping.number()));
                }
            }
        }

        /** Sends a coordinator the slices that it still owns, then reassigns all slices. */
        private void onCoordinatorHello() {
            Stream before = coordinatorStreams.put(number, this);
            if (leases) {
                return;
            }
            for (int slice = 0; slice < slices; slice++) {
                if (owner[slice] == number) {
                    sendCharge(this, slice, true);
                } else if (before == null) {
                    // It may have been in charge before its stream broke, and must be notified that it no longer is.
                    send(new Frame.Charge(slice, false));
                }
            }
            assignSlices();
        }

        /** Sends the frame after the current delay, which is the same for all and so keeps their order. */
        private void sendDelayed(Frame frame) {
            if (delayMs > 0) {
                net.schedule(delayMs, () -> send(frame));
            } else {
                send(frame);
            }
        }

        private void send(Frame frame) {
            Link to = link;
            if (to != null) {
                to.send(FrameWriter.encode(frame));
            }
        }

        @Override
        public void ended(Link from, Link.Cause cause, String detail) {
            synchronized (Store.this) {
                readers.remove(this);
                if (isCoordinator && coordinatorStreams.remove(number, this) && !leases) {
                    net.schedule(takeoverMs, () -> {
                        synchronized (Store.this) {
                            assignSlices();
                        }
                    });
                }
            }
        }
    }
}
