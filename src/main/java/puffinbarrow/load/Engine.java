package puffinbarrow.load;

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
 * Sends flows at their intended starts and never waits for answers before the next: one thread draws ahead, each
 * sender has its share of flows, connections and bounds, and one thread does nothing but sleep and look how late it
 * wakes, which is what this host adds to any latency.
 */
public final class Engine implements AutoCloseable {
    private static final long SECOND = 1_000_000_000L;
    /** Long enough for all senders to stand ready. */
    private static final long BEGIN_AFTER_NS = 20_000_000;

    /** A process without a handle cannot even load a class: so many stay free of connections. */
    private static final int SPARE_HANDLES = 40;

    private final Scenario scenario;
    private final int handles;
    private final Feeder feeder;
    private final List<Sender> senders = new ArrayList<>();
    private volatile boolean running;
    private long beganAt;

    /** The scenario's own flows: those of its trace, or drawn ones. */
    public Engine(Scenario scenario) throws IOException {
        this(scenario, source(scenario), null);
    }

    /** @param ended hears of each flow's end, on the sender's thread; may be null */
    public Engine(Scenario scenario, Source source, Consumer<Ended> ended) throws IOException {
        this.scenario = scenario;
        this.feeder = new Feeder(source, scenario.senders);
        this.handles = handles();
        for (int i = 0; i < scenario.senders; i++) {
            senders.add(new Sender(i, scenario, handles / scenario.senders, feeder.lane(i), ended));
        }
    }

    /** What the system lets this process still open, less what it needs for itself. */
    private static int handles() {
        return ManagementFactory.getOperatingSystemMXBean() instanceof com.sun.management.UnixOperatingSystemMXBean os
                ? (int) Math.max(
                        1,
                        Math.min(
                                Integer.MAX_VALUE,
                                os.getMaxFileDescriptorCount() - os.getOpenFileDescriptorCount() - SPARE_HANDLES))
                : Integer.MAX_VALUE;
    }

    public static Source source(Scenario scenario) throws IOException {
        return scenario.trace != null ? new TraceFlows(scenario) : new Arrivals(scenario);
    }

    /** Sends it all and waits for every outcome; progress may be null. */
    public Result run(PrintStream progress) {
        prepare();
        return run(progress, System.nanoTime() + BEGIN_AFTER_NS);
    }

    /** The same with the start set by the caller, on {@link System#nanoTime}'s clock; call {@link #prepare} first. */
    public Result run(PrintStream progress, long beginAtNs) {
        beganAt = beginAtNs;
        running = true;
        Result result = new Result(scenario.groups.size(), scenario.lengthNs);
        Histogram late = new Histogram(60_000_000, 3);
        Thread hiccup = new Thread(() -> hiccups(result, late), "load-hiccups");
        hiccup.setDaemon(true);
        hiccup.start();
        long gcBefore = gcMs();
        List<Thread> threads = new ArrayList<>();
        for (Sender sender : senders) {
            Thread thread = new Thread(() -> sender.run(beganAt), "load-sender-" + threads.size());
            thread.setDaemon(true);
            thread.start();
            threads.add(thread);
        }
        try {
            follow(threads, progress);
            running = false;
            hiccup.join();
        } catch (InterruptedException stop) {
            running = false;
            Thread.currentThread().interrupt();
            result.cutShort = "interrupted";
            return result;
        }
        senders.forEach(s -> result.add(s.result));
        result.hiccups.add(late);
        result.gcPauseMs = gcMs() - gcBefore;
        result.handleLimit = handles < (long) scenario.connections * scenario.targets.size() ? handles : 0;
        result.cutShort = feeder.failure();
        return result;
    }

    /** Draws the first flows, so that the run can begin on the dot. */
    public void prepare() {
        feeder.start();
    }

    public long openFlows() {
        return senders.stream().mapToLong(s -> s.open).sum();
    }

    private void follow(List<Thread> threads, PrintStream progress) throws InterruptedException {
        Histogram[] some = new Histogram[senders.size()];
        long intended = 0;
        long sent = 0;
        for (int second = 1; threads.stream().anyMatch(Thread::isAlive); second++) {
            for (Thread thread : threads) {
                long left = beganAt + second * SECOND - System.nanoTime();
                if (left > 0) {
                    thread.join(left / 1_000_000 + 1);
                }
            }
            long nowIntended = senders.stream().mapToLong(s -> s.intendedCount).sum();
            long nowSent = senders.stream().mapToLong(s -> s.sentCount).sum();
            Histogram all = new Histogram(60_000_000, 3);
            for (int i = 0; i < some.length; i++) {
                some[i] = senders.get(i).recent.getIntervalHistogram(some[i]);
                all.add(some[i]);
            }
            if (progress != null && beganAt + second * SECOND <= System.nanoTime()) {
                progress.printf(
                        Locale.ROOT,
                        "%4d s  intended %6d/s  ended %6d/s  open %6d  p50 %8.2f ms  p99 %8.2f ms  "
                                + "this host late %.1f ms%n",
                        second,
                        nowIntended - intended,
                        nowSent - sent,
                        openFlows(),
                        all.getValueAtPercentile(50) / 1e3,
                        all.getValueAtPercentile(99) / 1e3,
                        hostLateUs / 1e3);
                hostLateUs = 0;
            }
            intended = nowIntended;
            sent = nowSent;
        }
    }

    /** The worst wake-up since the last progress line. */
    private volatile long hostLateUs;

    /** Wakes up every millisecond and notes by how much it was late: what this host adds to any latency. */
    private void hiccups(Result result, Histogram own) {
        long last = System.nanoTime();
        while (running) {
            LockSupport.parkNanos(1_000_000);
            long now = System.nanoTime();
            long late = Result.micros(now - last - 1_000_000);
            last = now;
            own.recordValue(late);
            hostLateUs = Math.max(hostLateUs, late);
            if (now > beganAt) {
                Result.Step step = result.step(now - beganAt);
                step.hiccupMaxUs = Math.max(step.hiccupMaxUs, late);
            }
        }
    }

    private static long gcMs() {
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
