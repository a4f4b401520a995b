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

/**
 * The clients in simulated time: the arrivals of the load generator, and the retries and time-outs of its clients.
 * Every flow ends with exactly one outcome.
 */
final class Clients {
    /** A flow from its intended start to its outcome, over all attempts of its client. */
    private final class OpenFlow {
        final Flow flow;
        final long startNs;
        int attempt;
        boolean finished;
        /** The flow at the proxy, of the last attempt. */
        private Proxy.Flow proxyFlow;

        OpenFlow(Flow flow) {
            this.flow = flow;
            this.startNs = trafficStartNs + flow.startNs();
        }

        /** Sends an attempt to the proxy of the flow. */
        void send() {
            int sentAttempt = attempt;
            // An answer to an earlier attempt is ignored: a later one has begun, or the flow has ended.
            IntConsumer answer = code -> simulation.after(networkDelayNs, () -> {
                if (!finished && sentAttempt == attempt) {
                    handleAnswer(code);
                }
            });
            simulation.after(
                    networkDelayNs,
                    () -> proxyFlow = fleet.proxies
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

        /** Ends the flow, or retries it after a wait that doubles with each attempt. */
        private void handleAnswer(int code) {
            long latencyNs = simulation.now() - startNs;
            if (code == Server.OK) {
                boolean inBudget = latencyNs <= group().budgetNs();
                latencyUs[flow.group()].recordValue(Math.max(0, latencyNs / 1000));
                finish(inBudget ? Result.Outcome.IN_BUDGET : Result.Outcome.LATE);
                return;
            }
            boolean blocked = code == Server.REJECTED;
            long waitNs = scenario.retryWaitNs << attempt;
            waitNs += waitNs == 0 ? 0 : Math.floorMod(flow.startNs(), waitNs);
            if ((group().retriable() || blocked)
                    && attempt < scenario.retries
                    && latencyNs + waitNs < group().expiryNs()) {
                attempt++;
                retries++;
                simulation.after(waitNs, () -> {
                    if (!finished) {
                        send();
                    }
                });
            } else {
                finish(blocked ? Result.Outcome.BLOCKED : Result.Outcome.FAILED);
            }
        }

        /** Ends the flow with an outcome. */
        void finish(Result.Outcome outcome) {
            finished = true;
            openFlows--;
            outcomeCounts[flow.group()][outcome.ordinal()]++;
            int second = (int) (flow.startNs() / SECOND);
            // A late flow earns a fifth of its utility, as on the page of a day.
            earnedUtility[second] += outcome == Result.Outcome.IN_BUDGET
                    ? group().utility()
                    : outcome == Result.Outcome.LATE ? group().utility() / 5 : 0;
        }
    }

    private static final long SECOND = 1_000_000_000L;
    /** Upper limit of the histograms: an hour, in microseconds; no flow lasts as long. */
    private static final long MAX_LATENCY_US = 3_600_000_000L;

    private final Fleet fleet;
    private final Simulation simulation;
    private final Scenario scenario;
    private final long networkDelayNs;
    private final Arrivals arrivals;
    /** Time from the intended start to a good answer in microseconds, by group. */
    final Histogram[] latencyUs;
    /** Flows by group and outcome. */
    final long[][] outcomeCounts;
    /** Utility offered, by second of the intended start. */
    final double[] offeredUtility;
    /** Utility earned, by second of the intended start. */
    final double[] earnedUtility;
    /**
     * Work asked of each slice recently, in nanoseconds of one core of speed 1, halved each second; for policies that
     * see the true state.
     */
    final double[] recentSliceWork;

    /** Flows by group in order of their start, until they expire; ended flows are removed when they come first. */
    private final List<ArrayDeque<OpenFlow>> expiring = new ArrayList<>();

    private long trafficStartNs;
    long intended;
    long retries;
    long openFlows;
    /** Largest number of flows open at a time. */
    long maxOpenFlows;

    Clients(Fleet fleet, Scenario scenario) {
        this.fleet = fleet;
        this.simulation = fleet.simulation;
        this.scenario = scenario;
        this.networkDelayNs = fleet.model.networkDelayNs;
        this.arrivals = new Arrivals(scenario);
        int groups = scenario.groups.size();
        latencyUs = new Histogram[groups];
        for (int i = 0; i < groups; i++) {
            latencyUs[i] = new Histogram(MAX_LATENCY_US, 3);
            expiring.add(new ArrayDeque<>());
        }
        outcomeCounts = new long[groups][Result.Outcome.values().length];
        int seconds = (int) (scenario.lengthNs / SECOND) + 1;
        offeredUtility = new double[seconds];
        earnedUtility = new double[seconds];
        recentSliceWork = new double[scenario.slices];
    }

    /**
     * Starts the traffic. Arrivals are drawn one ahead, so that memory use depends on the flows in flight, not on the
     * length of the day.
     */
    void start() {
        trafficStartNs = simulation.now();
        scheduleNext();
        decayWork();
    }

    /** Schedules the next arrival. */
    private void scheduleNext() {
        Flow flow = arrivals.next();
        if (flow == null) {
            return;
        }
        simulation.at(trafficStartNs + flow.startNs(), () -> {
            intended++;
            openFlows++;
            maxOpenFlows = Math.max(maxOpenFlows, openFlows);
            OpenFlow openFlow = new OpenFlow(flow);
            offeredUtility[(int) (flow.startNs() / SECOND)] += openFlow.group().utility();
            recentSliceWork[scenario.sliceOf(flow.key())] += flow.workNs();
            openFlow.send();
            ArrayDeque<OpenFlow> groupFlows = expiring.get(flow.group());
            groupFlows.addLast(openFlow);
            if (groupFlows.size() == 1) {
                simulation.at(openFlow.startNs + openFlow.group().expiryNs(), () -> expire(groupFlows));
            }
            scheduleNext();
        });
    }

    /**
     * Expires the first open flow of a group. Flows of a group expire in the order of their start, so one timer at
     * the first open flow serves them all.
     */
    private void expire(ArrayDeque<OpenFlow> group) {
        OpenFlow first = group.pollFirst();
        if (!first.finished) {
            first.finish(Result.Outcome.TIMED_OUT);
            if (first.proxyFlow != null) {
                first.proxyFlow.expire();
            }
        }
        while (!group.isEmpty() && group.peekFirst().finished) {
            group.pollFirst();
        }
        if (!group.isEmpty()) {
            OpenFlow next = group.peekFirst();
            simulation.at(next.startNs + next.group().expiryNs(), () -> expire(group));
        }
    }

    /** Halves the recent work each second, so that it sums to about twice the work of the last second. */
    private void decayWork() {
        for (int i = 0; i < recentSliceWork.length; i++) {
            recentSliceWork[i] /= 2;
        }
        simulation.after(SECOND, this::decayWork);
    }

    /** Returns the number of flows of all groups with this outcome. */
    long count(Result.Outcome outcome) {
        long sum = 0;
        for (long[] group : outcomeCounts) {
            sum += group[outcome.ordinal()];
        }
        return sum;
    }

    /** Returns the latencies of all groups together. */
    Histogram allLatencies() {
        Histogram merged = new Histogram(MAX_LATENCY_US, 3);
        for (Histogram each : latencyUs) {
            merged.add(each);
        }
        return merged;
    }
}
