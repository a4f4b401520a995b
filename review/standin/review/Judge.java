package review;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Judges the rules from what proxies send and hold, and from what discovery has written. */
final class Judge {
    /** Added to the time limits on sockets by the users' protocol page. */
    private static final int SOCKET_SLACK_MS = 300;
    /** The limits start no sooner than this after the coordinator first answered. */
    private static final int READY_SLACK_MS = 1000;

    private final World world;
    /** Since when a proxy has had no line to pick for a slice, by proxy and slice. */
    private final Map<String, Long> emptySinceMs = new HashMap<>();
    private final Set<String> emptyBroken = new HashSet<>();
    long longestEmptyMs;
    /** By how much this thread was late: tells whether the machine kept up with the stand-ins. */
    long longestLagMs;
    long longestDrainMs;
    int drainBreaches;
    final Set<String> drainBackends = new HashSet<>();
    final Map<String, Integer> outcomes = new TreeMap<>();
    final List<String> crashes = new ArrayList<>();
    /** Flows for slices whose proxy had no line for longer than the limit. */
    int blackholed;
    /** Flows lost at a backend that was gone before the slice was given, though the slice then stood on running ones. */
    int lostByMoves;
    /** When backends died. */
    final Map<String, Long> gone = new HashMap<>();
    /** Work sent to cold backends within the latest window: time and work in ms. */
    private final Map<String, ArrayDeque<long[]>> coldWork = new HashMap<>();
    double highestMultiple;

    Judge(World world) {
        this.world = world;
    }

    void crashed(String what) {
        synchronized (world) {
            crashes.add(what);
        }
    }

    private long start(Coordinator in, Proxy proxy, int slice) {
        return Math.max(in.readyAtMs + READY_SLACK_MS,
                Math.max(world.givenAtMs[slice], proxy.joinedAtMs.get(in.number)));
    }

    private Coordinator inCharge(Proxy proxy, int slice) {
        if (world.owner[slice] < 0) {
            return null;
        }
        Coordinator in = world.coordinators.get(world.owner[slice]);
        return in.readyAtMs < 0 || !proxy.joinedAtMs.containsKey(in.number) ? null : in;
    }

    /** A proxy sends a flow to a backend. */
    void sent(Proxy proxy, int slice, Backend backend, World.Group group) {
        if (backend.warmth() < 1) {
            ArrayDeque<long[]> work = coldWork.computeIfAbsent(backend.id, id -> new ArrayDeque<>());
            work.add(new long[] {world.nowMs(), group.workMs()});
            while (world.nowMs() - work.peekFirst()[0] > world.fallMs) {
                work.pollFirst();
            }
            double multiple = work.stream().mapToLong(w -> w[1]).sum()
                    / (double) (world.cores * world.fallMs * backend.warmth());
            if (multiple > highestMultiple) {
                highestMultiple = multiple;
            }
        }
        Coordinator in = inCharge(proxy, slice);
        Long told = in == null ? null : in.toldLeftAtMs.get(backend.id);
        if (told == null) {
            return;
        }
        long late = world.nowMs() - Math.max(told, start(in, proxy, slice));
        longestDrainMs = Math.max(longestDrainMs, late);
        if (late > world.graceMs + SOCKET_SLACK_MS) {
            drainBreaches++;
            drainBackends.add(backend.id);
            world.log("RULE drain: proxy " + proxy.id + " slice " + slice + " sends to " + backend.id + ", "
                    + backend.listed + ", " + late + " ms after " + in.name + " was told");
        }
    }

    void ended(Proxy proxy, int slice, World.Group group, Backend backend, String outcome, long tookMs) {
        synchronized (world) {
            outcomes.merge(outcome, 1, Integer::sum);
            Coordinator in = inCharge(proxy, slice);
            if (backend != null && !backend.running && !outcome.equals("answered") && in != null
                    && world.stoodOnRunning[slice] && gone.containsKey(backend.id)
                    && gone.get(backend.id) < world.givenAtMs[slice]) {
                lostByMoves++;
                world.log("RULE lost: proxy " + proxy.id + " slice " + slice + " was sent to " + backend.id
                        + ", gone before the slice was given to " + in.name + "; its line then named a running backend");
            }
            if (backend == null && emptyBroken.contains(proxy.id + " " + slice)) {
                blackholed++;
            }
            if (world.owner[slice] >= 0) {
                world.coordinators.get(world.owner[slice])
                        .count(proxy, slice, group, backend, outcome.equals("answered"), tookMs);
            }
        }
    }

    /** Looks at every joined proxy's lines, some twenty times a second. */
    void watch() {
        while (true) {
            long before = world.nowMs();
            World.sleep(50);
            synchronized (world) {
                long now = world.nowMs();
                longestLagMs = Math.max(longestLagMs, now - before - 50);
                boolean warmListed = world.backends.values().stream()
                        .anyMatch(b -> b.running && b.listed.equals("SERVING") && b.warmth() >= 1);
                for (Proxy proxy : world.proxies) {
                    for (int slice = 0; slice < world.sliceCount; slice++) {
                        String key = proxy.id + " " + slice;
                        Coordinator in = inCharge(proxy, slice);
                        if (in == null || !warmListed || proxy.hasUsable(slice)) {
                            emptySinceMs.remove(key);
                            continue;
                        }
                        long since = Math.max(emptySinceMs.computeIfAbsent(key, k -> now), start(in, proxy, slice));
                        longestEmptyMs = Math.max(longestEmptyMs, now - since);
                        if (now - since > world.blackholeMs + SOCKET_SLACK_MS && emptyBroken.add(key)) {
                            world.log("RULE left without a backend: proxy " + proxy.id + " slice " + slice + " for "
                                    + (now - since) + " ms; lines " + proxy.tables.get(slice) + " withdrawn "
                                    + proxy.withdrawals(in.number));
                        }
                    }
                }
            }
        }
    }

    int emptyPairs() {
        return emptyBroken.size();
    }

    /** Says the figures of all rules judged here. */
    void report() {
        synchronized (world) {
            world.say("outcomes " + outcomes);
            world.say("no line to pick: longest " + longestEmptyMs + " ms of " + (world.blackholeMs + SOCKET_SLACK_MS)
                    + " allowed; pairs of proxy and slice over it " + emptyPairs() + "; flows refused there " + blackholed);
            world.say("sent to draining or gone: latest " + longestDrainMs + " ms after being told, of "
                    + (world.graceMs + SOCKET_SLACK_MS) + " allowed; flows over it " + drainBreaches + " to "
                    + drainBackends.size() + " backends");
            for (Coordinator c : world.coordinators) {
                world.say("channel of " + c.name + ": most lines waiting " + (int) c.relay.maxWaitingLines + " of "
                        + (int) world.backlog + "; most messages to one proxy in 10 s " + c.relay.maxMessages + " of "
                        + world.messagesMost + "; calls " + c.relay.calls);
            }
            world.say(String.format("cold backends: highest multiple of present capacity sent within the window %.2f of %.1f",
                    highestMultiple, world.fallMultiple));
            world.say("crashes " + crashes + "; the stand-ins were late by " + longestLagMs + " ms at most");
        }
    }
}
