package puffinbarrow.emulator;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;
import puffinbarrow.audit.Observation;
import puffinbarrow.control.Order;
import puffinbarrow.coordinator.FrameSink;
import puffinbarrow.proto.Frame;

/**
 * The table store in simulated time: tables, and records with revisions that are written by compare-and-set and
 * watched. Without leases it assigns the slices to the coordinators itself. Faults of the script: unavailable, slow,
 * answers lost, cut off from one coordinator.
 */
final class StoreModel {
    /** A coordinator's stream to the store. */
    final class Stream implements FrameSink {
        final CoordinatorModel coordinator;
        boolean watching;

        Stream(CoordinatorModel coordinator) {
            this.coordinator = coordinator;
        }

        @Override
        public boolean send(ByteBuffer bytes) {
            if (streams.get(coordinator.number) != this) {
                return false;
            }
            receive(fleet.decode(bytes));
            return true;
        }

        /** Receives a frame from the coordinator, after the delay of the network. */
        void receive(Frame frame) {
            simulation.after(fleet.model.networkDelayNs, () -> {
                if (streams.get(coordinator.number) == this) {
                    handle(this, frame);
                }
            });
        }

        @Override
        public void close(String why) {
            disconnect(this);
        }

        /** Sends a frame to the coordinator, after the delays of network and store. */
        void deliver(Frame frame) {
            simulation.after(fleet.model.networkDelayNs + extraDelayNs, () -> {
                if (streams.get(coordinator.number) == this) {
                    coordinator.fromStore(frame);
                }
            });
        }
    }

    private final Fleet fleet;
    private final Simulation simulation;
    private final UniformRandomProvider random;
    private final int slices;
    private final boolean leases;
    private final boolean singleOwner;
    private final Table[] tables;
    /** Owning coordinator by slice, or -1. */
    private final int[] owner;

    private final Map<Integer, Stream> streams = new TreeMap<>();
    private final Map<Integer, Frame.MemberRecord> memberRecords = new TreeMap<>();
    private final Map<Integer, Frame.SliceOwnerRecord> ownerRecords = new TreeMap<>();
    /** Coordinators that cannot reach the store. */
    private final Set<Integer> cut = new HashSet<>();
    /** The last revision given to a record. */
    private long revisions;

    private boolean unavailable;
    private double lostAnswerShare;
    private long extraDelayNs;
    long ownerChanges;
    long refusedWrites;
    long moves;

    StoreModel(Fleet fleet) {
        this.fleet = fleet;
        this.simulation = fleet.simulation;
        this.random = simulation.random("store", 0);
        this.slices = fleet.script.slices;
        this.leases = fleet.script.leaseNs > 0;
        this.singleOwner = fleet.config.soleOwner;
        this.tables = new Table[slices];
        Arrays.fill(tables, Table.EMPTY);
        this.owner = new int[slices];
        Arrays.fill(owner, -1);
    }

    /** Sets the first table of a slice. */
    void init(int slice, Server server) {
        tables[slice] = Table.of(server);
    }

    Table table(int slice) {
        return tables[slice];
    }

    int owner(int slice) {
        return owner[slice];
    }

    boolean unavailable() {
        return unavailable;
    }

    // ---- Faults.

    /** Makes the store unavailable to all, or available again. */
    void setUnavailable(boolean on) {
        unavailable = on;
        if (on) {
            fleet.proxies.forEach(p -> p.storeLostAtNs = simulation.now());
            new ArrayList<>(streams.values()).forEach(this::disconnect);
        } else {
            // Proxies connect again and read everything; coordinators connect by themselves.
            fleet.proxies.forEach(this::readAll);
        }
    }

    /** Sets a delay of all answers, in addition to the network. */
    void setExtraDelay(long ns) {
        extraDelayNs = ns;
    }

    /** Sets the share of answers to writes that are lost, 0 to 1. */
    void setLostAnswerShare(double share) {
        lostAnswerShare = share;
    }

    /** Cuts one coordinator off from the store, or lets it connect again. */
    void cut(CoordinatorModel coordinator, boolean on) {
        if (on) {
            cut.add(coordinator.number);
            Stream stream = streams.get(coordinator.number);
            if (stream != null) {
                disconnect(stream);
            }
        } else {
            cut.remove(coordinator.number);
        }
    }

    // ---- Streams of coordinators.

    /** Opens a stream; returns null if the store cannot be reached. */
    Stream connect(CoordinatorModel coordinator) {
        if (unavailable || cut.contains(coordinator.number)) {
            return null;
        }
        Stream stream = new Stream(coordinator);
        Stream previous = streams.put(coordinator.number, stream);
        if (!leases) {
            simulation.after(0, () -> welcome(stream, previous == null));
        }
        return stream;
    }

    /** Notifies a coordinator of the slices that it owns. */
    private void welcome(Stream stream, boolean newStream) {
        for (int slice = 0; slice < slices; slice++) {
            if (owner[slice] == stream.coordinator.number) {
                announceCharge(stream, slice, true);
            } else if (newStream) {
                // A coordinator that held the slice before its stream broke must not continue to act as its owner.
                stream.deliver(new Frame.Charge(slice, false));
            }
        }
        assignSlices();
    }

    /** Ends a stream; without leases, reassigns its slices after the takeover time. */
    private void disconnect(Stream stream) {
        if (streams.remove(stream.coordinator.number, stream)) {
            stream.coordinator.storeDown();
            if (!leases) {
                simulation.after(fleet.script.takeoverNs, this::assignSlices);
            }
        }
    }

    /** Breaks the stream of a coordinator that stopped. */
    void coordinatorStopped(CoordinatorModel coordinator) {
        Stream stream = streams.get(coordinator.number);
        if (stream != null) {
            disconnect(stream);
        }
    }

    /** Assigns the slices evenly to the connected coordinators; does nothing where coordinators hold leases. */
    private void assignSlices() {
        if (streams.isEmpty() || leases) {
            return;
        }
        List<Integer> connected = new ArrayList<>(streams.keySet());
        for (int slice = 0; slice < slices; slice++) {
            int preferred = slice % fleet.script.coordinators;
            int to = streams.containsKey(preferred) ? preferred : connected.get(slice % connected.size());
            if (owner[slice] == to) {
                continue;
            }
            Stream previous = streams.get(owner[slice]);
            if (previous != null) {
                announceCharge(previous, slice, false);
            }
            ownerChanges += owner[slice] >= 0 ? 1 : 0;
            owner[slice] = to;
            announceCharge(streams.get(to), slice, true);
            notifyProxies(slice);
        }
    }

    /** Notifies a coordinator that a slice is given to it or taken from it, with the stored table if given. */
    private void announceCharge(Stream to, int slice, boolean given) {
        fleet.observe(new Observation.ChargeSent(simulation.now(), to.coordinator.number, slice, given));
        to.deliver(new Frame.Charge(slice, given));
        if (given) {
            to.deliver(stored(slice));
        }
    }

    /** Returns the frame with the table of a slice. */
    private Frame.Stored stored(int slice) {
        List<Frame.Line> lines = new ArrayList<>();
        Table table = tables[slice];
        for (int i = 0; i < table.size(); i++) {
            lines.add(new Frame.Line(table.servers[i].id(), table.weights[i]));
        }
        return new Frame.Stored(slice, lines);
    }

    /** Returns the term of a slice, or 0 if it never had an owner record. */
    private long term(int slice) {
        Frame.SliceOwnerRecord ownerRecord = ownerRecords.get(slice);
        return ownerRecord == null ? 0 : ownerRecord.term();
    }

    /** Sends the owner and the table of a slice to all proxies. */
    private void notifyProxies(int slice) {
        int now = owner[slice];
        long term = term(slice);
        Table table = tables[slice];
        simulation.after(fleet.model.networkDelayNs + extraDelayNs, () -> {
            if (!unavailable) {
                fleet.proxies.forEach(p -> p.read(slice, now, term, table));
            }
        });
    }

    /** Lets a proxy read everything; a read that is already pending is enough. */
    void readAll(Proxy proxy) {
        if (proxy.storeReadPending || unavailable) {
            return;
        }
        proxy.storeReadPending = true;
        simulation.after(fleet.model.networkDelayNs, () -> {
            if (unavailable) {
                proxy.storeReadPending = false;
                return;
            }
            long[] terms = new long[slices];
            ownerRecords.forEach((slice, ownerRecord) -> terms[slice] = ownerRecord.term());
            int[] owners = owner.clone();
            Table[] all = tables.clone();
            simulation.after(fleet.model.networkDelayNs + extraDelayNs, () -> proxy.read(owners, terms, all));
        });
    }

    /** Handles a frame from a coordinator. */
    private void handle(Stream from, Frame frame) {
        if (frame instanceof Frame.ReadSlice read) {
            if (read.slice() >= 0 && read.slice() < slices) {
                from.deliver(stored(read.slice()));
            }
        } else if (frame instanceof Frame.Orders orders) {
            write(from, orders);
        } else if (frame instanceof Frame.Watch) {
            from.watching = true;
            memberRecords.values().forEach(from::deliver);
            ownerRecords.values().forEach(from::deliver);
            from.deliver(new Frame.Synced());
        } else if (frame instanceof Frame.MemberRecord m) {
            Frame.MemberRecord previous = memberRecords.get(m.number());
            if (m.revision() == (previous == null ? 0 : previous.revision())) {
                Frame.MemberRecord next = new Frame.MemberRecord(
                        0,
                        ++revisions,
                        m.number(),
                        m.incarnation(),
                        m.heartbeat(),
                        m.settled(),
                        m.leaving(),
                        m.dead(),
                        m.flaps());
                memberRecords.put(m.number(), next);
                notifyWatchers(next);
                answerWrite(from, m.id(), true);
            } else {
                refuseWrite(from, previous, m.id());
            }
        } else if (frame instanceof Frame.SliceOwnerRecord v && v.slice() >= 0 && v.slice() < slices) {
            Frame.SliceOwnerRecord previous = ownerRecords.get(v.slice());
            if (v.revision() == (previous == null ? 0 : previous.revision())) {
                Frame.SliceOwnerRecord next =
                        new Frame.SliceOwnerRecord(0, ++revisions, v.slice(), v.owner(), v.incarnation(), v.term());
                ownerRecords.put(v.slice(), next);
                ownerChanged(next);
                notifyWatchers(next);
                answerWrite(from, v.id(), true);
            } else {
                refuseWrite(from, previous, v.id());
            }
        }
    }

    /** Sends a new record to all coordinators that watch. */
    private void notifyWatchers(Frame record) {
        for (Stream stream : streams.values()) {
            if (stream.watching) {
                stream.deliver(record);
            }
        }
    }

    /** Refuses a write and sends the current record, if there is one. */
    private void refuseWrite(Stream from, Frame previous, long id) {
        if (previous != null) {
            from.deliver(previous);
        }
        answerWrite(from, id, false);
    }

    /** Answers a write. With {@code store loses} the answer may be lost after the write took effect. */
    private void answerWrite(Stream from, long id, boolean applied) {
        if (lostAnswerShare == 0 || random.nextDouble() >= lostAnswerShare) {
            from.deliver(new Frame.Written(id, applied));
        }
    }

    /** Takes over the owner of a slice from a new record and notifies the proxies. */
    private void ownerChanged(Frame.SliceOwnerRecord ownerRecord) {
        int slice = ownerRecord.slice();
        if (owner[slice] >= 0) {
            fleet.observe(new Observation.ChargeSent(simulation.now(), owner[slice], slice, false));
            ownerChanges += owner[slice] == ownerRecord.owner() ? 0 : 1;
        }
        owner[slice] = ownerRecord.owner();
        fleet.observe(new Observation.ChargeSent(simulation.now(), ownerRecord.owner(), slice, true));
        notifyProxies(slice);
    }

    /**
     * Writes order lines to the tables; refuses those from a coordinator that does not own the slice, or under an
     * older term.
     */
    private void write(Stream from, Frame.Orders orders) {
        Map<Integer, Long> terms = new TreeMap<>();
        orders.terms().forEach(t -> terms.put(t.slice(), t.term()));
        for (Order order : orders.orders()) {
            int slice =
                    order instanceof Order.SetLine o ? o.table() : order instanceof Order.ClearTable c ? c.table() : -1;
            if (slice < 0 || slice >= slices) {
                continue;
            }
            if (owner[slice] != from.coordinator.number || leases && terms.getOrDefault(slice, 0L) < term(slice)) {
                refusedWrites++;
                if (leases) {
                    from.deliver(new Frame.Stale(slice, term(slice)));
                }
            } else if (order instanceof Order.SetLine o) {
                Server server = fleet.server(o.server());
                moves += o.weight() > 0 && !tables[slice].holds(server) ? 1 : 0;
                tables[slice] = tables[slice].with(o, server, singleOwner);
            } else {
                tables[slice] = Table.EMPTY;
            }
        }
    }
}
