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
import puffinbarrow.audit.Seen;
import puffinbarrow.control.Order;
import puffinbarrow.coordinator.Outlet;
import puffinbarrow.proto.Frame;

/**
 * The table store in simulated time: tables, records with revisions written by compare-and-set and watched; without
 * leases it deals the charges itself. Faults as a script has them: away, slow, answers lost, cut from one coordinator.
 */
final class StoreModel {
    /** A coordinator's stream. */
    final class Stream implements Outlet {
        final Host host;
        boolean watches;

        Stream(Host host) {
            this.host = host;
        }

        @Override
        public boolean send(ByteBuffer bytes) {
            if (holders.get(host.number) != this) {
                return false;
            }
            take(fleet.decode(bytes));
            return true;
        }

        void take(Frame frame) {
            world.after(fleet.model.networkNs, () -> {
                if (holders.get(host.number) == this) {
                    heard(this, frame);
                }
            });
        }

        @Override
        public void close(String why) {
            end(this);
        }

        void tell(Frame frame) {
            world.after(fleet.model.networkNs + slowNs, () -> {
                if (holders.get(host.number) == this) {
                    host.fromStore(frame);
                }
            });
        }
    }

    private final Fleet fleet;
    private final World world;
    private final UniformRandomProvider chance;
    private final int slices;
    private final boolean leases, sole;
    private final Table[] tables;
    private final int[] owner;
    private final Map<Integer, Stream> holders = new TreeMap<>();
    private final Map<Integer, Frame.MemberRecord> members = new TreeMap<>();
    private final Map<Integer, Frame.VoiceRecord> voices = new TreeMap<>();
    private final Set<Integer> cut = new HashSet<>();
    private long revisions;
    private boolean away;
    private double loseShare;
    private long slowNs;
    long handed, refused, moves;

    StoreModel(Fleet fleet) {
        this.fleet = fleet;
        this.world = fleet.world;
        this.chance = world.chance("store", 0);
        this.slices = fleet.script.slices;
        this.leases = fleet.script.leaseNs > 0;
        this.sole = fleet.judged.soleOwner;
        this.tables = new Table[slices];
        Arrays.fill(tables, Table.EMPTY);
        this.owner = new int[slices];
        Arrays.fill(owner, -1);
    }

    void begin(int slice, Server server) {
        tables[slice] = Table.of(server);
    }

    Table table(int slice) {
        return tables[slice];
    }

    int owner(int slice) {
        return owner[slice];
    }

    boolean away() {
        return away;
    }

    // ---- Faults.

    void away(boolean on) {
        away = on;
        if (on) {
            fleet.proxies.forEach(p -> p.storeLostAt = world.now());
            new ArrayList<>(holders.values()).forEach(this::end);
        } else {
            // Proxies dial again and read all; coordinators dial by themselves.
            fleet.proxies.forEach(this::ask);
        }
    }

    void slow(long ns) {
        slowNs = ns;
    }

    void loses(double share) {
        loseShare = share;
    }

    void cut(Host host, boolean on) {
        if (on) {
            cut.add(host.number);
            Stream stream = holders.get(host.number);
            if (stream != null) {
                end(stream);
            }
        } else {
            cut.remove(host.number);
        }
    }

    // ---- Streams of coordinators.

    /** Null if it cannot be reached. */
    Stream dial(Host host) {
        if (away || cut.contains(host.number)) {
            return null;
        }
        Stream stream = new Stream(host);
        Stream before = holders.put(host.number, stream);
        if (!leases) {
            world.after(0, () -> welcome(stream, before == null));
        }
        return stream;
    }

    private void welcome(Stream stream, boolean anew) {
        for (int slice = 0; slice < slices; slice++) {
            if (owner[slice] == stream.host.number) {
                charge(stream, slice, true);
            } else if (anew) {
                // One that held it before its stream broke must not go on believing so.
                stream.tell(new Frame.Charge(slice, false));
            }
        }
        deal();
    }

    private void end(Stream stream) {
        if (holders.remove(stream.host.number, stream)) {
            stream.host.storeDown();
            if (!leases) {
                world.after(fleet.script.takeoverNs, this::deal);
            }
        }
    }

    /** A coordinator is gone. */
    void gone(Host host) {
        Stream stream = holders.get(host.number);
        if (stream != null) {
            end(stream);
        }
    }

    /** Deals the slices evenly over the coordinators that are there. */
    private void deal() {
        if (holders.isEmpty() || leases) {
            return;
        }
        List<Integer> there = new ArrayList<>(holders.keySet());
        for (int slice = 0; slice < slices; slice++) {
            int usual = slice % fleet.script.coordinators;
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
            tellProxies(slice);
        }
    }

    private void charge(Stream to, int slice, boolean given) {
        fleet.seen(new Seen.ChargeTold(world.now(), to.host.number, slice, given));
        to.tell(new Frame.Charge(slice, given));
        if (given) {
            to.tell(stored(slice));
        }
    }

    private Frame.Stored stored(int slice) {
        List<Frame.Line> lines = new ArrayList<>();
        Table table = tables[slice];
        for (int i = 0; i < table.size(); i++) {
            lines.add(new Frame.Line(table.servers[i].id(), table.weights[i]));
        }
        return new Frame.Stored(slice, lines);
    }

    private long term(int slice) {
        Frame.VoiceRecord voice = voices.get(slice);
        return voice == null ? 0 : voice.term();
    }

    private void tellProxies(int slice) {
        int now = owner[slice];
        long term = term(slice);
        Table table = tables[slice];
        world.after(fleet.model.networkNs + slowNs, () -> {
            if (!away) {
                fleet.proxies.forEach(p -> p.read(slice, now, term, table));
            }
        });
    }

    /** A proxy asks for all; one asking under way is enough. */
    void ask(Proxy proxy) {
        if (proxy.asking || away) {
            return;
        }
        proxy.asking = true;
        world.after(fleet.model.networkNs, () -> {
            if (away) {
                proxy.asking = false;
                return;
            }
            long[] terms = new long[slices];
            voices.forEach((slice, voice) -> terms[slice] = voice.term());
            int[] owners = owner.clone();
            Table[] all = tables.clone();
            world.after(fleet.model.networkNs + slowNs, () -> proxy.read(owners, terms, all));
        });
    }

    private void heard(Stream from, Frame frame) {
        if (frame instanceof Frame.ReadSlice read) {
            if (read.slice() >= 0 && read.slice() < slices) {
                from.tell(stored(read.slice()));
            }
        } else if (frame instanceof Frame.Orders orders) {
            write(from, orders);
        } else if (frame instanceof Frame.Watch) {
            from.watches = true;
            members.values().forEach(from::tell);
            voices.values().forEach(from::tell);
            from.tell(new Frame.Synced());
        } else if (frame instanceof Frame.MemberRecord m) {
            Frame.MemberRecord before = members.get(m.number());
            if (m.revision() == (before == null ? 0 : before.revision())) {
                Frame.MemberRecord next = new Frame.MemberRecord(
                        0,
                        ++revisions,
                        m.number(),
                        m.incarnation(),
                        m.beat(),
                        m.settled(),
                        m.leaving(),
                        m.dead(),
                        m.flaps());
                members.put(m.number(), next);
                watchers(next);
                written(from, m.id(), true);
            } else {
                refuse(from, before, m.id());
            }
        } else if (frame instanceof Frame.VoiceRecord v && v.slice() >= 0 && v.slice() < slices) {
            Frame.VoiceRecord before = voices.get(v.slice());
            if (v.revision() == (before == null ? 0 : before.revision())) {
                Frame.VoiceRecord next =
                        new Frame.VoiceRecord(0, ++revisions, v.slice(), v.owner(), v.incarnation(), v.term());
                voices.put(v.slice(), next);
                voiceChanged(next);
                watchers(next);
                written(from, v.id(), true);
            } else {
                refuse(from, before, v.id());
            }
        }
    }

    private void watchers(Frame record) {
        for (Stream stream : holders.values()) {
            if (stream.watches) {
                stream.tell(record);
            }
        }
    }

    private void refuse(Stream from, Frame before, long id) {
        if (before != null) {
            from.tell(before);
        }
        written(from, id, false);
    }

    /** With {@code store loses} the answer is lost after the write took effect. */
    private void written(Stream from, long id, boolean applied) {
        if (loseShare == 0 || chance.nextDouble() >= loseShare) {
            from.tell(new Frame.Written(id, applied));
        }
    }

    private void voiceChanged(Frame.VoiceRecord voice) {
        int slice = voice.slice();
        if (owner[slice] >= 0) {
            fleet.seen(new Seen.ChargeTold(world.now(), owner[slice], slice, false));
            handed += owner[slice] == voice.owner() ? 0 : 1;
        }
        owner[slice] = voice.owner();
        fleet.seen(new Seen.ChargeTold(world.now(), voice.owner(), slice, true));
        tellProxies(slice);
    }

    private void write(Stream from, Frame.Orders orders) {
        Map<Integer, Long> terms = new TreeMap<>();
        orders.terms().forEach(t -> terms.put(t.slice(), t.term()));
        for (Order order : orders.orders()) {
            int slice =
                    order instanceof Order.SetLine o ? o.table() : order instanceof Order.ClearTable c ? c.table() : -1;
            if (slice < 0 || slice >= slices) {
                continue;
            }
            if (owner[slice] != from.host.number || leases && terms.getOrDefault(slice, 0L) < term(slice)) {
                refused++;
                if (leases) {
                    from.tell(new Frame.Stale(slice, term(slice)));
                }
            } else if (order instanceof Order.SetLine o) {
                Server server = fleet.server(o.server());
                moves += o.weight() > 0 && !tables[slice].holds(server) ? 1 : 0;
                tables[slice] = tables[slice].with(o, server, sole);
            } else {
                tables[slice] = Table.EMPTY;
            }
        }
    }
}
