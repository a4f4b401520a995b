package puffinbarrow.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import puffinbarrow.Logic;
import puffinbarrow.control.Event;
import puffinbarrow.control.Settings;

/**
 * Measures one turn of the decision logic, with a timer event only and with a report of sums from all servers, by the
 * number of servers; there are four slices per server.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(1)
public class TurnBench {
    private static final long SECOND = 1_000_000_000L;

    @Param({"20", "80", "320"})
    private int servers;

    private Logic logic;
    private long nowNs;

    @Setup
    public void setUp() {
        int slices = servers * 4;
        Settings settings = new Settings(
                false,
                false,
                true,
                List.of(new Settings.Group(1, SECOND), new Settings.Group(3, SECOND / 2)),
                slices,
                false,
                40_000,
                20_000,
                12,
                0,
                10 * SECOND,
                SECOND,
                3 * SECOND,
                17 * SECOND,
                0.2,
                4,
                false,
                false,
                0);
        logic = new Logic(settings, 7);
        nowNs = 100 * SECOND;
        List<Event> events = new ArrayList<>();
        List<Event.Entry> entries = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            entries.add(new Event.Entry("10.0.0." + i + ":80", i % 3, 0, i / 4, Event.Listed.READY, 1, 0));
        }
        events.add(new Event.ServerList(Event.ListKind.STALE_COPY, entries));
        for (int i = 0; i < slices; i++) {
            events.add(new Event.SliceCharge(i, true));
            events.add(new Event.StoredLine(i, "10.0.0." + i % servers + ":80", 1));
        }
        for (int i = 0; i < 100; i++) {
            events.add(new Event.ProxyJoined(i, true, 5, i % 3));
        }
        logic.handle(nowNs, events);
    }

    @Benchmark
    public Object quiet() {
        nowNs += SECOND / 4;
        return logic.handle(nowNs, List.of(new Event.Timer(0)));
    }

    @Benchmark
    public Object withARoundOfSums() {
        nowNs += SECOND;
        List<Event> events = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            events.add(new Event.ServerSums(
                    "10.0.0." + i + ":80", i % 3, SECOND, 100_000_000, 0, 20, Map.of(Event.Measure.BUSY, 0.5)));
        }
        for (int i = 0; i < servers * 4; i++) {
            events.add(new Event.SliceDemand(i, i % 2, 5, 0, SECOND));
        }
        events.add(new Event.Timer(0));
        return logic.handle(nowNs, events);
    }
}
