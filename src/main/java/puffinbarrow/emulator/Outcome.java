package puffinbarrow.emulator;

import java.util.List;
import java.util.Locale;
import org.HdrHistogram.Histogram;
import puffinbarrow.audit.Audit;
import puffinbarrow.load.Result;
import puffinbarrow.load.Scenario;

/**
 * The result of a day in the emulator. Everything but the cost of decisions follows from the day, its seed and
 * the policy alone.
 */
public final class Outcome {
    /** Length of the window of {@link #worstWindow}. */
    private static final int WINDOW_SECONDS = 10;

    /** Why the run failed, or null. */
    public String failed;

    /** Share of the offered utility that was earned over the day, 0 to 1. */
    public double service;
    /** The lowest such share in any window of 10 s. */
    public double worstWindow;
    /** Flows that clients started; the next four fields split them by outcome. */
    public long intended;

    public long inBudget;
    public long late;
    public long blocked;
    public long dropped;
    /** Retries by clients. */
    public long clientRetries;
    /** Retries by proxies. */
    public long proxyRetries;
    /** Median time from the intended start of a flow to its good answer; the next three are other percentiles. */
    public double p50Ms;

    public double p90Ms;
    public double p99Ms;
    public double p999Ms;
    /** Slices that were moved to a server. */
    public long moves;
    /** Slices that went from one coordinator to another. */
    public long ownerChanges;
    /** Lines refused by the store. */
    public long refusedWrites;
    /** Orders of an older term refused by proxies. */
    public long staleOrders;
    /** Times that a proxy was cut off by a full channel. */
    public long cutOffs;
    /** Calls of the controllers. */
    public long decisionTurns;
    /** Facts recalled after restarts. */
    public long recalledFacts;
    /** Events of the simulation. */
    public long events;
    /** Largest number of flows open at a time. */
    public long maxOpenFlows;
    /** Order lines that coordinators sent. */
    public double linesSent;
    /** Names of broken rules in lower case, joined by plus signs; empty if none. */
    public String broken = "";

    /** What the audit found. */
    public Audit.Verdict verdict;
    /** Faults and releases of the script with their times. */
    public List<String> log = List.of();
    /** Servers that crashed by overload during a cold start. */
    public List<String> crashedUnderLoad = List.of();
    /** Simulated time until the fleet was up and traffic began. */
    public long trafficStartNs;
    /** Names of the traffic groups. */
    public List<String> groupNames = List.of();
    /** Flows by group and {@link Result.Outcome}. */
    public long[][] outcomeCounts = new long[0][];
    /** Time from the intended start to a good answer in microseconds, by group. */
    public Histogram[] latencyUs = new Histogram[0];
    /** Utility offered, by second of the intended start. */
    public double[] offeredUtility = new double[0];
    /** Utility earned, by second of the intended start. */
    public double[] earnedUtility = new double[0];
    /** Real time that decisions took on this machine; the only figure that does not follow from the seed. */
    public long decisionNs;
    /** Events that the controllers were given. */
    public long decisionEvents;

    /** Takes over the counts and latencies of the clients. */
    void recordTraffic(Clients clients, Scenario scenario) {
        intended = clients.intended;
        clientRetries = clients.retries;
        maxOpenFlows = clients.maxOpenFlows;
        inBudget = clients.count(Result.Outcome.IN_BUDGET);
        late = clients.count(Result.Outcome.LATE);
        blocked = clients.count(Result.Outcome.BLOCKED);
        dropped = clients.count(Result.Outcome.FAILED) + clients.count(Result.Outcome.TIMED_OUT);
        Histogram all = clients.allLatencies();
        p50Ms = all.getValueAtPercentile(50) / 1e3;
        p90Ms = all.getValueAtPercentile(90) / 1e3;
        p99Ms = all.getValueAtPercentile(99) / 1e3;
        p999Ms = all.getValueAtPercentile(99.9) / 1e3;
        groupNames = scenario.groups.stream().map(Scenario.Group::name).toList();
        outcomeCounts = clients.outcomeCounts;
        latencyUs = clients.latencyUs;
        offeredUtility = clients.offeredUtility;
        earnedUtility = clients.earnedUtility;
        double offered = 0;
        double earned = 0;
        for (int i = 0; i < offeredUtility.length; i++) {
            offered += offeredUtility[i];
            earned += earnedUtility[i];
        }
        service = offered == 0 ? 1 : earned / offered;
        worstWindow = service;
        for (int from = 0; from + WINDOW_SECONDS < offeredUtility.length; from++) {
            double windowOffered = 0;
            double windowEarned = 0;
            for (int i = from; i < from + WINDOW_SECONDS; i++) {
                windowOffered += offeredUtility[i];
                windowEarned += earnedUtility[i];
            }
            worstWindow = windowOffered == 0 ? worstWindow : Math.min(worstWindow, windowEarned / windowOffered);
        }
    }

    /** Returns whether the run completed and every flow has exactly one outcome. */
    public boolean complete() {
        return failed == null && intended == inBudget + late + blocked + dropped;
    }

    /** Returns the report as text. */
    public String text() {
        StringBuilder report = new StringBuilder(String.format(
                Locale.ROOT,
                "%nThe day in the emulator (simulated servers)%n%n"
                        + "service %.3f   worst 10 s %.3f   flows %d intended, %d in budget, %d late, %d blocked, %d dropped%n"
                        + "latency p50 %.1f ms, p99 %.1f ms, p99.9 %.1f ms%n",
                service,
                worstWindow,
                intended,
                inBudget,
                late,
                blocked,
                dropped,
                p50Ms,
                p99Ms,
                p999Ms));
        for (int i = 0; i < groupNames.size(); i++) {
            report.append(String.format(
                    Locale.ROOT,
                    "  %-18s in budget %7d  late %6d  blocked %6d  dropped %6d  p50 %7.1f ms  " + "p99 %7.1f ms%n",
                    groupNames.get(i),
                    outcomeCounts[i][Result.Outcome.IN_BUDGET.ordinal()],
                    outcomeCounts[i][Result.Outcome.LATE.ordinal()],
                    outcomeCounts[i][Result.Outcome.BLOCKED.ordinal()],
                    outcomeCounts[i][Result.Outcome.FAILED.ordinal()]
                            + outcomeCounts[i][Result.Outcome.TIMED_OUT.ordinal()],
                    latencyUs[i].getValueAtPercentile(50) / 1e3,
                    latencyUs[i].getValueAtPercentile(99) / 1e3));
        }
        report.append("\nwhat was done\n");
        log.forEach(line -> report.append("  ").append(line).append('\n'));
        report.append(String.format(
                Locale.ROOT,
                "%nmoves of slices %d   charges handed on %d   lines sent %.0f   tries again by "
                        + "proxies %d, by clients %d%nwrites refused by the store %d, old orders refused by proxies %d, proxies cut off by "
                        + "a full channel %d, facts recalled after restarts %d%n",
                moves,
                ownerChanges,
                linesSent,
                proxyRetries,
                clientRetries,
                refusedWrites,
                staleOrders,
                cutOffs,
                recalledFacts));
        if (!crashedUnderLoad.isEmpty()) {
            report.append("fell over cold: ").append(crashedUnderLoad).append('\n');
        }
        report.append("\nthe rules\n");
        for (Audit.Rule rule : Audit.rules()) {
            report.append(verdict.broke(rule) ? "  BROKEN " : "  kept   ")
                    .append(rule.name().toLowerCase(Locale.ROOT))
                    .append('\n');
            verdict.findings().stream().filter(f -> f.rule() == rule).limit(5).forEach(f -> report.append("           ")
                    .append(f.evidence())
                    .append('\n'));
        }
        if (failed != null) {
            report.append("\nFAILED: ").append(failed).append('\n');
        }
        return report.toString();
    }
}
