package puffinbarrow.bench;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.apache.commons.rng.simple.RandomSource;
import puffinbarrow.Logic;
import puffinbarrow.audit.Recorder;
import puffinbarrow.config.CoordinatorConfig;
import puffinbarrow.config.Problem;
import puffinbarrow.control.Event;
import puffinbarrow.control.Order;
import puffinbarrow.coordinator.Coordinator;
import puffinbarrow.coordinator.Dialer;
import puffinbarrow.coordinator.FrameSink;
import puffinbarrow.net.Net;
import puffinbarrow.proto.Frame;
import puffinbarrow.proto.FrameWriter;
import puffinbarrow.standin.Registry;
import puffinbarrow.standin.Store;

/**
 * Runs a real coordinator on loopback sockets with proxies that confirm marks at once and do nothing else. Bench calls
 * it on the main thread.
 */
final class SocketBench {
    private static final int SERVERS = 80;

    private SocketBench() {}

    /** The coordinator with its registry, store and connected proxies. */
    private static final class Fleet implements AutoCloseable {
        final Net net = new Net("bench", 4);
        /** Without room for records, so that it keeps none. */
        final Recorder recorder = new Recorder(0);

        final Registry registry = new Registry(net, recorder, RandomSource.XO_RO_SHI_RO_128_PP.create(1), 0, 1);
        final Store store;
        final Coordinator coordinator;
        final CoordinatorConfig config;
        final List<Dialer> proxies = new ArrayList<>();
        final AtomicLong applied = new AtomicLong();
        final AtomicLong lines = new AtomicLong();
        /** When the last mark was confirmed, by System.nanoTime. */
        volatile long lastAppliedNs;

        Fleet(int proxyCount, int slices, String moreSettings) throws IOException {
            store = new Store(net, recorder, slices, 1, false, 1000);
            List<Event.Entry> entries = new ArrayList<>();
            for (int i = 0; i < SERVERS; i++) {
                entries.add(entry(i, Event.Listed.READY));
            }
            registry.update(entries);
            for (int i = 0; i < slices; i++) {
                store.setInitialTable(i, "10.0.0." + i % SERVERS + ":80");
            }
            List<Problem> problems = new ArrayList<>();
            config = CoordinatorConfig.parse(
                    "bench",
                    "coordinator 0 of 1\nregistry 127.0.0.1:"
                            + registry.address().getPort() + " push\nstore 127.0.0.1:"
                            + store.address().getPort() + "\nslices "
                            + slices + "\ngroup g utility 1 budget 1s expiry 2s retriable\n" + moreSettings,
                    problems);
            if (!problems.isEmpty()) {
                throw new IllegalStateException(problems.toString());
            }
            coordinator = new Coordinator(config, Logic::new).start();
            for (int i = 0; i < proxyCount; i++) {
                Frame.Hello hello = new Frame.Hello(1, 0, Frame.Role.PROXY, i, i % 3, i, true, 5);
                FrameSink[] uplinks = new FrameSink[1];
                proxies.add(new Dialer(
                                net,
                                "bench",
                                coordinator.address(),
                                () -> hello,
                                1 << 20,
                                1 << 22,
                                frame -> {
                                    if (frame instanceof Frame.Orders orders) {
                                        lines.addAndGet(orders.orders().size());
                                        orders.orders().stream()
                                                .filter(order -> order instanceof Order.Mark)
                                                .forEach(order -> {
                                                    uplinks[0].send(FrameWriter.encode(
                                                            new Frame.Applied(((Order.Mark) order).number(), 1)));
                                                    applied.incrementAndGet();
                                                    lastAppliedNs = System.nanoTime();
                                                });
                                    }
                                },
                                sink -> uplinks[0] = sink)
                        .start());
            }
            awaitCondition(() -> value("streams.joined") == proxyCount && value("slices.charge") == slices);
        }

        static Event.Entry entry(int i, Event.Listed listed) {
            return new Event.Entry("10.0.0." + i + ":80", i % 3, 0, i / 4, listed, 1, 0);
        }

        /** Returns the value of a metric, 0 if it does not exist yet. */
        double value(String name) {
            return coordinator.meters().values().getOrDefault(name, 0.0);
        }

        /** Blocks until the condition holds, 120 s at most. */
        void awaitCondition(BooleanSupplier condition) {
            long deadlineNs = System.nanoTime() + 120_000_000_000L;
            while (!condition.getAsBoolean() && System.nanoTime() < deadlineNs) {
                pause(2);
            }
            if (!condition.getAsBoolean()) {
                throw new IllegalStateException("coordinator did not reach the expected state within 120 s");
            }
        }

        /** Blocks until no mark has been confirmed for 1.5 s. */
        void awaitQuiet() {
            for (long before = -1; before != applied.get(); ) {
                before = applied.get();
                pause(1500);
            }
        }

        static void pause(long ms) {
            try {
                Thread.sleep(ms);
            } catch (InterruptedException interrupted) {
                throw new IllegalStateException(interrupted);
            }
        }

        @Override
        public void close() {
            proxies.forEach(Dialer::close);
            coordinator.kill();
            registry.close();
            store.close();
            net.close();
        }
    }

    /**
     * Measures the time from a change of the server list to the last proxy's confirmation, against the time that the
     * paced channel needs for its lines.
     */
    static void spread(int proxies, int slices) throws IOException {
        try (Fleet fleet = new Fleet(proxies, slices, "pace 20000\nqueue 40000\nhead 12\ngrace 3s\n")) {
            fleet.awaitQuiet();
            for (int round = 0; round < 5; round++) {
                double linesBefore = fleet.value("channel.lines.sent");
                long appliedBefore = fleet.applied.get();
                long startNs = System.nanoTime();
                fleet.registry.update(Fleet.entry(round, Event.Listed.DRAINING));
                fleet.awaitQuiet();
                double channelS = (fleet.value("channel.lines.sent") - linesBefore) / fleet.config.linesPerS;
                double elapsedS = (fleet.lastAppliedNs - startNs) / 1e9;
                System.out.printf(
                        Locale.ROOT,
                        "spread %d: %d proxies, %d slices, %d answers; %.3f s to the last applied, "
                                + "%.3f s the channel needs for its lines, ratio %.2f%n",
                        round,
                        proxies,
                        slices,
                        fleet.applied.get() - appliedBefore,
                        elapsedS,
                        channelS,
                        elapsedS / channelS);
            }
        }
    }

    /**
     * Measures one coordinator with the given number of proxy streams: heap, confirmations, and the time of its turns.
     */
    static void streams(int count) throws IOException {
        long heapBefore = usedHeapBytes();
        try (Fleet fleet = new Fleet(count, 300, "pace 400000\nqueue 400000\nhead 1\nintake 100000\n")) {
            fleet.awaitQuiet();
            System.out.printf(
                    Locale.ROOT,
                    "streams: %d joined, %d answers, %d refusals, %.1f MB heap more than before (both ends)%n",
                    count,
                    fleet.applied.get(),
                    (long) fleet.value("channel.cut_off{cause=queue_full}"),
                    (usedHeapBytes() - heapBefore) / 1e6);
            double[] maxAndMeanUs = {
                fleet.value("turn.us.max"), fleet.value("turn.us.total") / Math.max(1, fleet.value("turn.us.count"))
            };
            System.out.printf(
                    Locale.ROOT,
                    "streams: a turn takes %.0f us on average, %.0f us at most%n",
                    maxAndMeanUs[1],
                    maxAndMeanUs[0]);
        }
    }

    /** Returns the bytes of heap in use after a garbage collection. */
    private static long usedHeapBytes() {
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
