package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** One small deployment: settings, backends, proxies, store, discovery and the record. Its monitor guards all state. */
final class World {
    // Settings of the deployment; a case sets them before start().
    String site = "";
    List<String> zones = List.of();
    String kind = "";
    List<Group> groups = List.of();
    int servers;
    int proxyCount;
    int sliceCount;
    double linesPerS;
    int head;
    double backlog;
    int messagesMost;
    int lateMinMs;
    int lateMaxMs;
    int periodMs = 2000;
    int heardLateMs = 600;
    int syncMs = 300;
    int graceMs = 3000;
    int warmMs;
    double coldShare;
    double fallMultiple;
    int fallMs;
    int blackholeMs = 6300;
    int holdMs;
    int cores = 6;
    String throttle = "off";
    String report = "cpu_share";
    double flowsPerS;
    /** How long discovery takes for a call. */
    volatile int discoveryCallMs = 20;
    /** Share of the traffic that goes to a few slices in demand, and for how long. */
    double tide = 0.1;
    int tideMs = 15_000;

    record Group(String name, double share, int workMs, int aimMs, int deadlineMs, double worth, String semantics,
            boolean write) {}

    final Map<String, Backend> backends = new TreeMap<>();
    final List<Proxy> proxies = new ArrayList<>();
    final List<Coordinator> coordinators = new ArrayList<>();
    /** The store: lines by slice. */
    final List<TreeMap<String, Double>> store = new ArrayList<>();
    /** The coordinator in charge of each slice; -1: none. */
    int[] owner;
    /** Since when the owner has each slice. */
    long[] givenAtMs;
    /** Whether all lines of each slice named running backends when it was given. */
    boolean[] stoodOnRunning;

    double[] sliceWeight;
    final Random random = new Random(34);
    final long startNs = System.nanoTime();
    final Discovery discovery = new Discovery(this);
    final Judge judge = new Judge(this);
    static final ScheduledExecutorService TIMER = Executors.newScheduledThreadPool(4, work -> {
        Thread thread = new Thread(work, "timer");
        thread.setDaemon(true);
        return thread;
    });
    /** Delivers messages; one thread, so that they arrive in order. */
    static final ScheduledExecutorService DELIVERY = Executors.newSingleThreadScheduledExecutor(work -> {
        Thread thread = new Thread(work, "delivery");
        thread.setDaemon(true);
        return thread;
    });
    private final PrintWriter record;
    volatile boolean trafficOn;

    World(Path recordFile) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(recordFile));
    }

    static Thread thread(String name, Runnable work) {
        Thread thread = new Thread(null, work, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void after(long ms, Runnable work) {
        schedule(TIMER, ms, work);
    }

    static void schedule(ScheduledExecutorService on, long ms, Runnable work) {
        on.schedule(() -> {
            try {
                work.run();
            } catch (RuntimeException failure) {
                failure.printStackTrace();
            }
        }, ms, TimeUnit.MILLISECONDS);
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException end) {
            Thread.currentThread().interrupt();
        }
    }

    long nowMs() {
        return (System.nanoTime() - startNs) / 1_000_000;
    }

    void log(String text) {
        synchronized (record) {
            record.printf(Locale.ROOT, "%8.3f %s%n", nowMs() / 1000.0, text);
        }
    }

    void say(String text) {
        log(text);
        System.out.printf(Locale.ROOT, "%8.3f %s%n", nowMs() / 1000.0, text);
    }

    void closeRecord() {
        synchronized (record) {
            record.flush();
        }
    }

    /** Makes the warm fleet, the slices (each on one backend) and the proxies. */
    void start() throws IOException {
        for (int i = 0; i < servers; i++) {
            addBackend(zones.get(i % zones.size()), 0);
        }
        List<String> ids = new ArrayList<>(backends.keySet());
        owner = new int[sliceCount];
        givenAtMs = new long[sliceCount];
        stoodOnRunning = new boolean[sliceCount];
        sliceWeight = new double[sliceCount];
        for (int i = 0; i < sliceCount; i++) {
            store.add(new TreeMap<>(Map.of(ids.get(i % ids.size()), 1.0)));
            sliceWeight[i] = Math.exp(0.6 * random.nextGaussian());
            owner[i] = -1;
        }
        for (int i = 0; i < proxyCount; i++) {
            proxies.add(new Proxy(this, i, i % zones.size()));
        }
    }

    /** Starts a backend and lists it; a start time of 0 means long ago. */
    synchronized Backend addBackend(String zone, long startedAtMs) throws IOException {
        String id;
        do {
            id = String.format("s-%08x", random.nextInt());
        } while (backends.containsKey(id));
        Backend backend = new Backend(this, id, zone, backends.size() / 4, startedAtMs);
        backends.put(id, backend);
        discovery.list(backend, "SERVING");
        return backend;
    }

    /** Starts the clients' traffic. */
    void startTraffic() {
        trafficOn = true;
        proxies.forEach(proxy -> thread("proxy-" + proxy.id, proxy::run));
    }

    /** Gives slices to a coordinator: the store's lines go with them, and its proxies read them afresh. */
    synchronized void give(int slice, int to) {
        if (owner[slice] >= 0 && owner[slice] != to) {
            coordinators.get(owner[slice]).relay.tellOwner(slice, false);
        }
        owner[slice] = to;
        givenAtMs[slice] = nowMs();
        stoodOnRunning[slice] = !store.get(slice).isEmpty()
                && store.get(slice).keySet().stream().allMatch(id -> backends.get(id).running);
        if (to >= 0) {
            coordinators.get(to).relay.tellOwner(slice, true);
            after(syncMs, () -> proxies.forEach(proxy -> proxy.readStore(slice)));
        }
    }

    /** The settings object, in the form and under the names of the users' wire page. */
    String settingsJson(int me) {
        StringBuilder classes = new StringBuilder();
        for (Group g : groups) {
            classes.append(classes.length() == 0 ? "" : ",").append(String.format(Locale.ROOT,
                    "{\"AimNs\":%d,\"DedupScope\":\"all\",\"HardLimitNs\":%d,\"Importance\":%.1f,\"LateWorth\":0.2,"
                            + "\"Name\":\"%s\",\"Semantics\":\"%s\",\"WindowNs\":5000000000}",
                    g.aimMs * 1_000_000L, g.deadlineMs * 1_000_000L, g.worth, g.name, g.semantics));
        }
        StringBuilder local = new StringBuilder();
        StringBuilder writes = new StringBuilder();
        for (Group g : groups) {
            local.append(local.length() == 0 ? "" : ",").append("false");
            writes.append(writes.length() == 0 ? "" : ",").append(g.write);
        }
        return String.format(Locale.ROOT,
                "{\"Ceilings\":{\"ConnIdleNs\":15000000000,\"ConnectTimeoutNs\":250000000,\"CpuUsPerS\":400000,\"Peers\":"
                        + "false,\"Probes\":true,\"StreamsPerConn\":32},\"Discovery\":\"ask\",\"Domain\":{\"Backlog\":%.1f,"
                        + "\"BaseMode\":0,\"BlackholeNs\":%d,\"ByZone\":false,\"ConnsLeast\":470.0,\"CountedOverNs\":"
                        + "10000000000,\"DefaultSize\":6,\"EgressPerS\":%.1f,\"FailsToEject\":0,\"HoldNs\":%d,"
                        + "\"IngestRate\":250.0,\"LbMethod\":\"random\",\"LeaseNs\":800000000,\"LingersNs\":20000000,"
                        + "\"MovePrice\":0.005,\"OrderPrice\":0.04,\"Overhead\":%d.0,\"ProxyCount\":%d,"
                        + "\"PushDelayMaxNs\":%d,\"PushesAllowed\":%d,\"Ranges\":%d,\"ReportEveryNs\":%d,"
                        + "\"SoleOwner\":false,\"StaysLocal\":[%s],\"ThrottleBy\":\"%s\",\"TransitNs\":%d,"
                        + "\"TryAims\":1.2,\"WarmKeys\":true,\"WriteClasses\":[%s]},\"DomainType\":\"control\","
                        + "\"Feedback\":{\"Columns\":[\"%s\"],\"Via\":\"inline\"},\"Goal\":{\"Whole\":0.5,\"WorstClass\":0.1,"
                        + "\"WorstTenant\":0.0,\"WorstWindow\":0.4},\"Instances\":%d,\"Me\":%d,\"Models\":[\"%s\"],"
                        + "\"PeriodNs\":4000000,\"Prices\":{\"Waste\":0.03},\"RequestClasses\":[%s],\"Rules\":{"
                        + "\"AskWithinNs\":10000000000,\"FallMultiple\":%.1f,\"FallNs\":%d,\"StartCapacity\":%.2f,"
                        + "\"StopSendingWithinNs\":%d,\"WarmWithinNs\":%d},\"Weights\":\"nominal\",\"WorthBy\":"
                        + "\"request\",\"Zone\":0,\"Zones\":[\"%s\"]}",
                backlog, blackholeMs * 1_000_000L, linesPerS, holdMs * 1_000_000L, head, proxyCount,
                lateMaxMs * 1_000_000L, messagesMost, sliceCount, periodMs * 1_000_000L, local, throttle,
                (lateMinMs + lateMaxMs) / 2 * 1_000_000L, writes, report, coordinators.size(), me, kind, classes,
                fallMultiple, fallMs * 1_000_000L, coldShare, graceMs * 1_000_000L, warmMs * 1_000_000L,
                String.join("\",\"", zones));
    }
}
