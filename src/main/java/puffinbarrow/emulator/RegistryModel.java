package puffinbarrow.emulator;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;
import puffinbarrow.audit.Observation;
import puffinbarrow.control.Event;
import puffinbarrow.coordinator.FrameSink;
import puffinbarrow.proto.Frame;

/**
 * The service registry in simulated time: the list of backends, pushed or fetched on request. Changes reach each
 * coordinator with a delay of its own, and a list may break off.
 */
final class RegistryModel {
    /** A coordinator's stream to the registry. */
    private final class Stream implements FrameSink {
        final CoordinatorModel coordinator;
        boolean follows;
        boolean sentWhole;
        /** Whether a patch with the pending changes is scheduled. */
        boolean patchScheduled;
        /** Changes not sent to this coordinator yet, in order; sent together when the first is due. */
        final LinkedHashMap<String, Event.Entry> pending = new LinkedHashMap<>();

        Stream(CoordinatorModel coordinator) {
            this.coordinator = coordinator;
        }

        boolean isOpen() {
            return streams.get(coordinator.number) == this;
        }

        @Override
        public boolean send(ByteBuffer bytes) {
            if (!isOpen()) {
                return false;
            }
            Frame frame = fleet.decode(bytes);
            simulation.after(fleet.model.networkDelayNs, () -> {
                if (isOpen()) {
                    handle(frame);
                }
            });
            return true;
        }

        @Override
        public void close(String why) {
            disconnect(coordinator);
        }

        /** Handles a frame from the coordinator. */
        private void handle(Frame frame) {
            if (frame instanceof Frame.Follow follow) {
                follows = follow.on();
                if (follows) {
                    sendList(
                            sentWhole ? Event.ListKind.WHOLE : Event.ListKind.STALE_COPY,
                            new ArrayList<>(entries.values()));
                    sentWhole = true;
                }
            } else if (frame instanceof Frame.Fetch) {
                sendList(Event.ListKind.WHOLE, new ArrayList<>(entries.values()));
            }
        }

        /** Queues changes for this coordinator and schedules a patch. */
        void queueChanges(List<Event.Entry> changed) {
            if (!follows) {
                return;
            }
            changed.forEach(e -> pending.put(e.server(), e));
            if (!patchScheduled) {
                patchScheduled = true;
                long minDelayNs = fleet.script.minListDelayNs;
                simulation.after(
                        minDelayNs + (long) ((fleet.script.maxListDelayNs - minDelayNs) * random.nextDouble()), () -> {
                            patchScheduled = false;
                            if (isOpen() && follows && !pending.isEmpty()) {
                                sendList(Event.ListKind.PATCH, new ArrayList<>(pending.values()));
                                pending.clear();
                            }
                        });
            }
        }

        /** Sends a list, or breaks the stream if the script asked for it. */
        private void sendList(Event.ListKind kind, List<Event.Entry> list) {
            if (breakNext) {
                breakNext = false;
                disconnect(coordinator);
                return;
            }
            fleet.observe(new Observation.ListSent(simulation.now(), coordinator.number, kind, list));
            long sentVersion = version;
            simulation.after(fleet.model.networkDelayNs, () -> {
                if (isOpen()) {
                    coordinator.fromRegistry(new Frame.ServerList(kind, sentVersion, list));
                }
            });
        }
    }

    private final Fleet fleet;
    private final Simulation simulation;
    private final UniformRandomProvider random;
    private final TreeMap<String, Event.Entry> entries = new TreeMap<>();
    private final Map<Integer, Stream> streams = new TreeMap<>();
    private long version;
    private boolean breakNext;

    RegistryModel(Fleet fleet) {
        this.fleet = fleet;
        this.simulation = fleet.simulation;
        this.random = simulation.random("registry", 0);
    }

    /** Applies changes to the list and sends them to the coordinators that follow it. */
    void update(List<Event.Entry> changed) {
        version++;
        for (Event.Entry entry : changed) {
            if (entry.listed() == Event.Listed.GONE) {
                entries.remove(entry.server());
            } else {
                entries.put(entry.server(), entry);
            }
        }
        streams.values().forEach(s -> s.queueChanges(changed));
    }

    /** Makes the next list that is sent break off. */
    void breakNext() {
        breakNext = true;
    }

    /** Opens the stream of a coordinator. */
    FrameSink connect(CoordinatorModel coordinator) {
        Stream stream = new Stream(coordinator);
        streams.put(coordinator.number, stream);
        return stream;
    }

    /** Breaks the stream of a coordinator, for whatever reason. */
    void disconnect(CoordinatorModel coordinator) {
        if (streams.remove(coordinator.number) != null) {
            coordinator.registryDown();
        }
    }
}
