package puffinbarrow.emulator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntConsumer;
import org.HdrHistogram.Histogram;
import puffinbarrow.load.Arrivals;
import puffinbarrow.load.Flow;
import puffinbarrow.load.Result;
import puffinbarrow.load.Scenario;

/** The load generator's arrivals and its clients' manners, in simulated time; every flow has one end. */
final class Clients {
    /** A flow from its intended start to its end, over all its client's tries. */
    private final class Open {
        final Flow flow;
        final long startNs;
        int attempt;
        boolean over;
        private Proxy.Flow proxied;

        Open(Flow flow) {
            this.flow = flow;
            this.startNs = beganAt + flow.startNs();
        }

        void send() {
            int mine = attempt;
            // A late answer to a former try finds a later one begun, or the flow over.
            IntConsumer answer = code -> world.after(networkNs, () -> {
                if (!over && mine == attempt) {
                    answered(code);
                }
            });
            world.after(
                    networkNs,
                    () -> proxied = fleet.proxies
                            .get(flow.target())
                            .request(
                                    scenario.sliceOf(flow.key()),
                                    flow.group(),
                                    flow.key(),
                                    flow.workNs(),
                                    startNs + group().expiryNs(),
                                    answer));
        }

        private Scenario.Group group() {
            return scenario.groups.get(flow.group());
        }

        private void answered(int code) {
            long took = world.now() - startNs;
            if (code == Server.OK) {
                boolean inBudget = took <= group().budgetNs();
                latency[flow.group()].recordValue(Math.max(0, took / 1000));
                end(inBudget ? Result.Outcome.IN_BUDGET : Result.Outcome.LATE);
                return;
            }
            boolean blocked = code == Server.TURNED_AWAY;
            long wait = scenario.retryWaitNs << attempt;
            wait += wait == 0 ? 0 : Math.floorMod(flow.startNs(), wait);
            if ((group().repeats() || blocked) && attempt < scenario.retries && took + wait < group().expiryNs()) {
                attempt++;
                retries++;
                world.after(wait, () -> {
                    if (!over) {
                        send();
                    }
                });
            } else {
                end(blocked ? Result.Outcome.BLOCKED : Result.Outcome.FAILED);
            }
        }

        void end(Result.Outcome outcome) {
            over = true;
            open--;
            counts[flow.group()][outcome.ordinal()]++;
            int second = (int) (flow.startNs() / SECOND);
            // A flow that comes late earns a fifth, as on the day's page.
            got[second] += outcome == Result.Outcome.IN_BUDGET
                    ? group().utility()
                    : outcome == Result.Outcome.LATE ? group().utility() / 5 : 0;
        }
    }

    private static final long SECOND = 1_000_000_000L;
    /** An hour at most is told apart; no flow lasts as long. */
    private static final long MOST_US = 3_600_000_000L;

    private final Fleet fleet;
    private final World world;
    private final Scenario scenario;
    private final long networkNs;
    private final Arrivals arrivals;
    final Histogram[] latency;
    final long[][] counts;
    /** By second of the intended start: utility asked for and got. */
    final double[] asked, got;
    /** Work asked of each slice lately, in nanoseconds of one core a second; for policies that see the true state. */
    final double[] sliceWork;

    private final List<ArrayDeque<Open>> expiring = new ArrayList<>();
    private long beganAt;
    long intended, retries, open, mostOpen;

    Clients(Fleet fleet, Scenario scenario) {
        this.fleet = fleet;
        this.world = fleet.world;
        this.scenario = scenario;
        this.networkNs = fleet.model.networkNs;
        this.arrivals = new Arrivals(scenario);
        int groups = scenario.groups.size();
        latency = new Histogram[groups];
        for (int i = 0; i < groups; i++) {
            latency[i] = new Histogram(MOST_US, 3);
            expiring.add(new ArrayDeque<>());
        }
        counts = new long[groups][Result.Outcome.values().length];
        int seconds = (int) (scenario.lengthNs / SECOND) + 1;
        asked = new double[seconds];
        got = new double[seconds];
        sliceWork = new double[scenario.slices];
    }

    /** Drawn one ahead: memory goes with the flows in flight, not with the length. */
    void start() {
        beganAt = world.now();
        next();
        decay();
    }

    private void next() {
        Flow flow = arrivals.next();
        if (flow == null) {
            return;
        }
        world.at(beganAt + flow.startNs(), () -> {
            intended++;
            open++;
            mostOpen = Math.max(mostOpen, open);
            Open one = new Open(flow);
            asked[(int) (flow.startNs() / SECOND)] += one.group().utility();
            sliceWork[scenario.sliceOf(flow.key())] += flow.workNs();
            one.send();
            ArrayDeque<Open> others = expiring.get(flow.group());
            others.addLast(one);
            if (others.size() == 1) {
                world.at(one.startNs + one.group().expiryNs(), () -> expire(others));
            }
            next();
        });
    }

    /** Flows of a group expire in the order they began: one timer, at the first that is not over, serves them all. */
    private void expire(ArrayDeque<Open> group) {
        Open first = group.pollFirst();
        if (!first.over) {
            first.end(Result.Outcome.TIMED_OUT);
            if (first.proxied != null) {
                first.proxied.expire();
            }
        }
        while (!group.isEmpty() && group.peekFirst().over) {
            group.pollFirst();
        }
        if (!group.isEmpty()) {
            Open next = group.peekFirst();
            world.at(next.startNs + next.group().expiryNs(), () -> expire(group));
        }
    }

    /** Halves each second, so that the sum is that of about the last second twice over. */
    private void decay() {
        for (int i = 0; i < sliceWork.length; i++) {
            sliceWork[i] /= 2;
        }
        world.after(SECOND, this::decay);
    }

    long count(Result.Outcome outcome) {
        long sum = 0;
        for (long[] group : counts) {
            sum += group[outcome.ordinal()];
        }
        return sum;
    }

    Histogram all() {
        Histogram all = new Histogram(MOST_US, 3);
        for (Histogram each : latency) {
            all.add(each);
        }
        return all;
    }
}
