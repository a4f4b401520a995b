package puffinbarrow.load;

import com.sun.management.UnixOperatingSystemMXBean;
import java.io.IOException;
import java.io.PrintStream;
import java.lang.management.GarbageCollectorMXBean;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;

/**
 * The open-loop load generator: sends flows at their intended starts and never waits for answers before the next. A
 * feeder thread reads flows ahead; each sender thread has its share of the flows, connections and bounds; a monitor
 * thread sleeps in short intervals and records how late it wakes up, which is what this host adds to any latency.
 * Created and run by the load commands and by the day's run.
 */
public final class Engine implements AutoCloseable {
    private static final long SECOND = 1_000_000_000L;
    /** Highest value of the histograms, in microseconds: one minute. */
    private static final long MAX_RECORDED_US = 60_000_000;
    /** Sleep of the monitor thread between two measurements. */
    private static final long MONITOR_SLEEP_NS = 1_000_000;

    /** Delay before the start, long enough for all sender threads to be running. */
    private static final long START_DELAY_NS = 20_000_000;

    /** File descriptors kept free of connections: a process without one cannot even load a class. */
    private static final int SPARE_HANDLES = 40;

    private final Scenario scenario;
    /** Descriptors that were free for connections when the engine was created. */
    private final int availableHandles;

    private final Feeder feeder;
    private final List<Sender> senders = new ArrayList<>();
    /** Whether the monitor thread goes on. */
    private volatile boolean running;
    /** Worst lateness of the monitor's wake-ups since the last progress line, in microseconds. */
    private volatile long hostLateUs;

    /** Start of the run, by System.nanoTime. */
    private long startedAtNs;

    /** Sends the scenario's flows: those of its trace if it has one, else drawn ones. */
    public Engine(Scenario scenario) throws IOException {
        this(scenario, openSource(scenario), null);
    }

    /**
     * Sends the flows of a source.
     *
     * @param onFlowEnd notified of each flow's end on a sender's thread; may be null
     */
    public Engine(Scenario scenario, FlowSource source, Consumer<FlowEnd> onFlowEnd) throws IOException {
        this.scenario = scenario;
        this.feeder = new Feeder(source, scenario.senders);
        this.availableHandles = availableHandles();
        for (int i = 0; i < scenario.senders; i++) {
            senders.add(new Sender(i, scenario, availableHandles / scenario.senders, feeder.queue(i), onFlowEnd));
        }
    }

    /** Returns how many file descriptors this process may still open, minus {@link #SPARE_HANDLES}, but at least 1. */
    private static int availableHandles() {
        return ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean system
                ? (int) Math.max(
                        1,
                        Math.min(
                                Integer.MAX_VALUE,
                                system.getMaxFileDescriptorCount()
                                        - system.getOpenFileDescriptorCount()
                                        - SPARE_HANDLES))
                : Integer.MAX_VALUE;
    }

    /** Opens the scenario's flows: those of its trace if it has one, else drawn ones. */
    public static FlowSource openSource(Scenario scenario) throws IOException {
        return scenario.trace != null ? new TraceFlows(scenario) : new Arrivals(scenario);
    }

    /**
     * Sends all flows and blocks until each has an outcome.
     *
     * @param progress where a line per second is printed; may be null
     */
    public Result run(PrintStream progress) {
        prepare();
        return run(progress, System.nanoTime() + START_DELAY_NS);
    }

    /**
     * Does the same with the start set by the caller, on {@link System#nanoTime}'s clock. Call {@link #prepare} first.
     */
    public Result run(PrintStream progress, long startAtNs) {
        startedAtNs = startAtNs;
        running = true;
        Result result = new Result(scenario.groups.size(), scenario.lengthNs);
        Histogram wakeUpLateness = new Histogram(MAX_RECORDED_US, 3);
        Thread monitor = new Thread(() -> monitorWakeUps(result, wakeUpLateness), "load-hiccups");
        monitor.setDaemon(true);
        monitor.start();
        long gcBeforeMs = gcTimeMs();
        List<Thread> threads = new ArrayList<>();
        for (Sender sender : senders) {
            Thread thread = new Thread(() -> sender.run(startedAtNs), "load-sender-" + threads.size());
            thread.setDaemon(true);
            thread.start();
            threads.add(thread);
        }
        try {
            awaitSenders(threads, progress);
            running = false;
            monitor.join();
        } catch (InterruptedException interrupted) {
            running = false;
            Thread.currentThread().interrupt();
            result.stopReason = "interrupted";
            return result;
        }
        senders.forEach(sender -> result.add(sender.result));
        result.wakeUpLateness.add(wakeUpLateness);
        result.gcPauseMs = gcTimeMs() - gcBeforeMs;
        result.handleLimit =
                availableHandles < (long) scenario.connections * scenario.targets.size() ? availableHandles : 0;
        result.stopReason = feeder.failure();
        return result;
    }

    /** Reads the first flows ahead, so that the run can start on time. */
    public void prepare() {
        feeder.start();
    }

    /** Returns the flows in progress; may be called from any thread. */
    public long openFlows() {
        return senders.stream().mapToLong(sender -> sender.open).sum();
    }

    /** Waits for the senders and prints the progress line of each second. */
    private void awaitSenders(List<Thread> threads, PrintStream progress) throws InterruptedException {
        Histogram[] recentBySender = new Histogram[senders.size()];
        long intended = 0;
        long sent = 0;
        for (int second = 1; threads.stream().anyMatch(Thread::isAlive); second++) {
            for (Thread thread : threads) {
                long remainingNs = startedAtNs + second * SECOND - System.nanoTime();
                if (remainingNs > 0) {
                    thread.join(remainingNs / 1_000_000 + 1);
                }
            }
            long intendedNow =
                    senders.stream().mapToLong(sender -> sender.intendedCount).sum();
            long sentNow =
                    senders.stream().mapToLong(sender -> sender.sentCount).sum();
            Histogram recent = new Histogram(MAX_RECORDED_US, 3);
            for (int i = 0; i < recentBySender.length; i++) {
                recentBySender[i] = senders.get(i).recent.getIntervalHistogram(recentBySender[i]);
                recent.add(recentBySender[i]);
            }
            if (progress != null && startedAtNs + second * SECOND <= System.nanoTime()) {
                progress.printf(
                        Locale.ROOT,
                        "%4d s  intended %6d/s  ended %6d/s  open %6d  p50 %8.2f ms  p99 %8.2f ms  "
                                + "this host late %.1f ms%n",
                        second,
                        intendedNow - intended,
                        sentNow - sent,
                        openFlows(),
                        recent.getValueAtPercentile(50) / 1e3,
                        recent.getValueAtPercentile(99) / 1e3,
                        hostLateUs / 1e3);
                hostLateUs = 0;
            }
            intended = intendedNow;
            sent = sentNow;
        }
    }

    /** Wakes up every millisecond and records by how much it was late, until the run ends. */
    private void monitorWakeUps(Result result, Histogram lateness) {
        long lastNs = System.nanoTime();
        while (running) {
            LockSupport.parkNanos(MONITOR_SLEEP_NS);
            long nowNs = System.nanoTime();
            long lateUs = Result.micros(nowNs - lastNs - MONITOR_SLEEP_NS);
            lastNs = nowNs;
            lateness.recordValue(lateUs);
            hostLateUs = Math.max(hostLateUs, lateUs);
            if (nowNs > startedAtNs) {
                Result.Interval interval = result.interval(nowNs - startedAtNs);
                interval.hiccupMaxUs = Math.max(interval.hiccupMaxUs, lateUs);
            }
        }
    }

    /** Returns the time spent in garbage collection since the process started. */
    private static long gcTimeMs() {
        return ManagementFactory.getGarbageCollectorMXBeans().stream()
                .mapToLong(GarbageCollectorMXBean::getCollectionTime)
                .sum();
    }

    @Override
    public void close() {
        feeder.close();
        senders.forEach(Sender::close);
    }
}
