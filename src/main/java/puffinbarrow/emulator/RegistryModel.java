package puffinbarrow.emulator;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;
import puffinbarrow.audit.Seen;
import puffinbarrow.control.Event;
import puffinbarrow.coordinator.Outlet;
import puffinbarrow.proto.Frame;

/** The list of backends in simulated time: pushed or asked for, late for each coordinator by itself, and breaking off. */
final class RegistryModel {
    private final class Stream implements Outlet {
        final Host host;
        boolean follows, sentWhole, due;
        /** What this coordinator has not been told, in order; told together when the first is due. */
        final LinkedHashMap<String, Event.Entry> untold = new LinkedHashMap<>();

        Stream(Host host) {
            this.host = host;
        }

        boolean stands() {
            return streams.get(host.number) == this;
        }

        @Override
        public boolean send(ByteBuffer bytes) {
            if (!stands()) {
                return false;
            }
            Frame frame = fleet.decode(bytes);
            world.after(fleet.model.networkNs, () -> {
                if (stands()) {
                    heard(frame);
                }
            });
            return true;
        }

        @Override
        public void close(String why) {
            end(host);
        }

        private void heard(Frame frame) {
            if (frame instanceof Frame.Follow follow) {
                follows = follow.on();
                if (follows) {
                    tell(
                            sentWhole ? Event.ListKind.WHOLE : Event.ListKind.STALE_COPY,
                            new ArrayList<>(entries.values()));
                    sentWhole = true;
                }
            } else if (frame instanceof Frame.Fetch) {
                tell(Event.ListKind.WHOLE, new ArrayList<>(entries.values()));
            }
        }

        void change(List<Event.Entry> changed) {
            if (!follows) {
                return;
            }
            changed.forEach(e -> untold.put(e.server(), e));
            if (!due) {
                due = true;
                long least = fleet.script.noticeLowNs;
                world.after(least + (long) ((fleet.script.noticeHighNs - least) * chance.nextDouble()), () -> {
                    due = false;
                    if (stands() && follows && !untold.isEmpty()) {
                        tell(Event.ListKind.PATCH, new ArrayList<>(untold.values()));
                        untold.clear();
                    }
                });
            }
        }

        private void tell(Event.ListKind kind, List<Event.Entry> list) {
            if (breakNext) {
                breakNext = false;
                end(host);
                return;
            }
            fleet.seen(new Seen.ListTold(world.now(), host.number, kind, list));
            long told = version;
            world.after(fleet.model.networkNs, () -> {
                if (stands()) {
                    host.fromRegistry(new Frame.ServerList(kind, told, list));
                }
            });
        }
    }

    private final Fleet fleet;
    private final World world;
    private final UniformRandomProvider chance;
    private final TreeMap<String, Event.Entry> entries = new TreeMap<>();
    private final Map<Integer, Stream> streams = new TreeMap<>();
    private long version;
    private boolean breakNext;

    RegistryModel(Fleet fleet) {
        this.fleet = fleet;
        this.world = fleet.world;
        this.chance = world.chance("registry", 0);
    }

    void set(List<Event.Entry> changed) {
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

    void breakNext() {
        breakNext = true;
    }

    Outlet dial(Host host) {
        Stream stream = new Stream(host);
        streams.put(host.number, stream);
        return stream;
    }

    /** The coordinator's stream breaks, for whatever reason. */
    void end(Host host) {
        if (streams.remove(host.number) != null) {
            host.registryDown();
        }
    }
}
