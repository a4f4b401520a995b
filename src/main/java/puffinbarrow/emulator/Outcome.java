package puffinbarrow.emulator;

import java.util.List;
import java.util.Locale;
import org.HdrHistogram.Histogram;
import puffinbarrow.audit.Audit;
import puffinbarrow.load.Result;
import puffinbarrow.load.Scenario;

/** What came of a day in the emulator. All but the decisions' cost follows from setup, seed and policy alone. */
public final class Outcome {
    private static final int WINDOW = 10;

    /** Why it ended before its time, or null. */
    public String failed;

    public double service, worst;
    public long intended, inBudget, late, blocked, dropped, retries, retried;
    public double p50Ms, p90Ms, p99Ms, p999Ms;
    public long moves, handed, refusedWrites, staleSeen, cutOff, turns, recalled, events, mostOpen;
    public double linesSent;
    /** Rules that broke, joined by plus signs. */
    public String broken = "";

    public Audit.Verdict verdict;
    public List<String> log = List.of(), fell = List.of();
    /** Until the fleet was up. */
    public long beganAtNs;
    /** By group: its name, outcomes in their order, latencies. */
    public List<String> groups = List.of();

    public long[][] counts = new long[0][];
    public Histogram[] latency = new Histogram[0];
    public double[] asked = new double[0], got = new double[0];
    /** Measured on this machine: not part of what a seed decides. */
    public long decisionNs, decisionEvents;

    void take(Clients clients, Scenario scenario) {
        intended = clients.intended;
        retries = clients.retries;
        mostOpen = clients.mostOpen;
        inBudget = clients.count(Result.Outcome.IN_BUDGET);
        late = clients.count(Result.Outcome.LATE);
        blocked = clients.count(Result.Outcome.BLOCKED);
        dropped = clients.count(Result.Outcome.FAILED) + clients.count(Result.Outcome.TIMED_OUT);
        Histogram all = clients.all();
        p50Ms = all.getValueAtPercentile(50) / 1e3;
        p90Ms = all.getValueAtPercentile(90) / 1e3;
        p99Ms = all.getValueAtPercentile(99) / 1e3;
        p999Ms = all.getValueAtPercentile(99.9) / 1e3;
        groups = scenario.groups.stream().map(Scenario.Group::name).toList();
        counts = clients.counts;
        latency = clients.latency;
        asked = clients.asked;
        got = clients.got;
        double sum = 0;
        double gotten = 0;
        for (int i = 0; i < asked.length; i++) {
            sum += asked[i];
            gotten += got[i];
        }
        service = sum == 0 ? 1 : gotten / sum;
        worst = service;
        for (int from = 0; from + WINDOW < asked.length; from++) {
            double windowAsked = 0;
            double windowGot = 0;
            for (int i = from; i < from + WINDOW; i++) {
                windowAsked += asked[i];
                windowGot += got[i];
            }
            worst = windowAsked == 0 ? worst : Math.min(worst, windowGot / windowAsked);
        }
    }

    /** Whether every flow has one end. */
    public boolean whole() {
        return failed == null && intended == inBudget + late + blocked + dropped;
    }

    public String text() {
        StringBuilder page = new StringBuilder(String.format(
                Locale.ROOT,
                "%nThe day in the emulator (simulated servers)%n%n"
                        + "service %.3f   worst 10 s %.3f   flows %d intended, %d in budget, %d late, %d blocked, %d dropped%n"
                        + "latency p50 %.1f ms, p99 %.1f ms, p99.9 %.1f ms%n",
                service,
                worst,
                intended,
                inBudget,
                late,
                blocked,
                dropped,
                p50Ms,
                p99Ms,
                p999Ms));
        for (int i = 0; i < groups.size(); i++) {
            page.append(String.format(
                    Locale.ROOT,
                    "  %-18s in budget %7d  late %6d  blocked %6d  dropped %6d  p50 %7.1f ms  " + "p99 %7.1f ms%n",
                    groups.get(i),
                    counts[i][Result.Outcome.IN_BUDGET.ordinal()],
                    counts[i][Result.Outcome.LATE.ordinal()],
                    counts[i][Result.Outcome.BLOCKED.ordinal()],
                    counts[i][Result.Outcome.FAILED.ordinal()] + counts[i][Result.Outcome.TIMED_OUT.ordinal()],
                    latency[i].getValueAtPercentile(50) / 1e3,
                    latency[i].getValueAtPercentile(99) / 1e3));
        }
        page.append("\nwhat was done\n");
        log.forEach(line -> page.append("  ").append(line).append('\n'));
        page.append(String.format(
                Locale.ROOT,
                "%nmoves of slices %d   charges handed on %d   lines sent %.0f   tries again by "
                        + "proxies %d, by clients %d%nwrites refused by the store %d, old orders refused by proxies %d, proxies cut off by "
                        + "a full channel %d, facts recalled after restarts %d%n",
                moves,
                handed,
                linesSent,
                retried,
                retries,
                refusedWrites,
                staleSeen,
                cutOff,
                recalled));
        if (!fell.isEmpty()) {
            page.append("fell over cold: ").append(fell).append('\n');
        }
        page.append("\nthe rules\n");
        for (Audit.Rule rule : Audit.rules()) {
            page.append(verdict.broke(rule) ? "  BROKEN " : "  kept   ")
                    .append(rule.name().toLowerCase(Locale.ROOT))
                    .append('\n');
            verdict.findings().stream().filter(f -> f.rule() == rule).limit(5).forEach(f -> page.append("           ")
                    .append(f.evidence())
                    .append('\n'));
        }
        if (failed != null) {
            page.append("\nFAILED: ").append(failed).append('\n');
        }
        return page.toString();
    }
}
