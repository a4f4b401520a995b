package puffinbarrow.day;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import puffinbarrow.audit.Audit;
import puffinbarrow.config.CoordinatorConfig;
import puffinbarrow.load.FlowEnd;
import puffinbarrow.load.Html;
import puffinbarrow.load.Result;
import puffinbarrow.load.Scenario;

/**
 * The figures of a day and the report that shows them, as text or as an HTML page. All figures come from stand-in
 * servers on one machine. {@link Day#run} makes it at the end of a day; it does not change afterwards.
 *
 * @param config the settings that the audit checked against
 * @param flows all flows that ended, in the order of their ends
 * @param dayStartNs when the day began, in ns of {@link System#nanoTime}
 * @param recordsLost records that did not fit the recorder; above 0 the verdict is incomplete
 * @param coordinators the last metrics of each coordinator, by its number
 * @param faultLog what was done to the fleet, one line for each step
 * @param faultEffects what was seen while each fault lasted, a line each
 * @param takeoverTimes how long slices were without a coordinator, as a line of the report; empty without leases
 * @param chargesHandedOver changes of the coordinator in charge of a slice, after its first one
 * @param moves orders that brought a server into a slice's table
 * @param refusedWrites writes that the store refused
 * @param proxyRetries attempts that proxies repeated
 * @param overloadedCold ids of backends that failed by overload while cold
 * @param attemptsAtUnstable attempts at flapping or drained backends in the 10 s after each coordinator's restart
 */
public record DayReport(
        Script script,
        CoordinatorConfig config,
        Audit.Verdict verdict,
        List<FlowEnd> flows,
        Scenario scenario,
        Result result,
        long dayStartNs,
        long recordsLost,
        Map<Integer, Map<String, Double>> coordinators,
        List<String> faultLog,
        List<String> faultEffects,
        String takeoverTimes,
        long chargesHandedOver,
        long moves,
        long refusedWrites,
        long proxyRetries,
        List<String> overloadedCold,
        long attemptsAtUnstable) {

    /** Nanoseconds in a second. */
    private static final long SECOND = 1_000_000_000L;

    /** Length of the sliding window of the worst service, in ns. */
    private static final long WINDOW_NS = 10 * SECOND;

    /** Returns utility answered within the latency budget over utility asked for; a late answer earns a fifth. */
    public double service() {
        return service(flows);
    }

    private double service(List<FlowEnd> some) {
        double asked = 0;
        double earned = 0;
        for (FlowEnd flow : some) {
            double utility = config.groups.get(flow.group()).utility();
            asked += utility;
            earned += flow.outcome() == Result.Outcome.IN_BUDGET
                    ? utility
                    : flow.outcome() == Result.Outcome.LATE ? utility / 5 : 0;
        }
        return asked == 0 ? 1 : earned / asked;
    }

    /** Returns the lowest service of any 10 s of the day, by the start of flows. */
    public double worstWindow() {
        double worst = 1;
        for (long from = 0; from + WINDOW_NS <= script.lengthNs; from += SECOND) {
            worst = Math.min(worst, service(between(from, from + WINDOW_NS)));
        }
        return worst;
    }

    /** Returns the service of flows that began within this part of the day, in ns from its beginning. */
    public double service(long fromNs, long toNs) {
        return service(between(fromNs, toNs));
    }

    /** Returns flows that began within this part of the day, in ns from its beginning. */
    private List<FlowEnd> between(long from, long to) {
        return flows.stream()
                .filter(f -> f.startNs() - dayStartNs >= from && f.startNs() - dayStartNs < to)
                .toList();
    }

    /** Returns whether every flow has exactly one end, no record was lost, and all rules are kept. */
    public boolean passed() {
        return verdict.kept() && recordsLost == 0 && result.isComplete() && result.intended == flows.size();
    }

    /** Returns the report as text. */
    public String text() {
        StringBuilder report =
                new StringBuilder("\nThe day, as its sockets saw it (stand-in servers on one machine)\n\n");
        report.append(String.format(
                Locale.ROOT,
                "service %.3f   worst 10 s %.3f   flows %d intended, %d ended%n",
                service(),
                worstWindow(),
                result.intended,
                flows.size()));
        report.append(String.format(
                "%n%-18s %8s %9s %7s %8s %8s %8s %8s%n",
                "group", "service", "delivered", "late", "blocked", "dropped", "p50 ms", "p99 ms"));
        for (int group = 0; group < config.groups.size(); group++) {
            int number = group;
            List<FlowEnd> own = flows.stream().filter(f -> f.group() == number).toList();
            report.append(String.format(
                    Locale.ROOT,
                    "%-18s %8.3f %9d %7d %8d %8d %8.0f %8.0f%n",
                    config.groups.get(group).name(),
                    service(own),
                    count(own, Result.Outcome.IN_BUDGET),
                    count(own, Result.Outcome.LATE),
                    count(own, Result.Outcome.BLOCKED),
                    dropped(own),
                    percentileMs(own, 0.5),
                    percentileMs(own, 0.99)));
        }
        report.append("\n   from    flows  service   p99 ms  what went wrong\n");
        for (long from = 0; from < script.lengthNs; from += 2 * SECOND) {
            List<FlowEnd> some = between(from, from + 2 * SECOND);
            double service = service(some);
            long begins = from;
            List<String> begun = new ArrayList<>();
            for (Script.Fault fault : script.faults) {
                if (fault.atNs() >= begins && fault.atNs() < begins + 2 * SECOND) {
                    begun.add(fault.text());
                }
            }
            report.append(String.format(
                    Locale.ROOT,
                    "%5.0f s  %7d  %7.3f  %7.0f  %s%n",
                    from / 1e9,
                    some.size(),
                    service,
                    percentileMs(some, 0.99),
                    String.join("; ", begun)));
        }
        report.append("\nwhat was done\n");
        faultLog.forEach(line -> report.append("  ").append(line).append('\n'));
        report.append("\nwhat showed on the sockets while each lasted, and 3 s after (lines and masks at proxy 0)\n");
        faultEffects.forEach(line -> report.append("  ").append(line).append('\n'));
        report.append(String.format(
                Locale.ROOT,
                "%norders %d messages   tries again by proxies %d   charges handed on %d   "
                        + "writes refused by the store %d%n",
                verdict.ordersFrames(),
                proxyRetries,
                chargesHandedOver,
                refusedWrites));
        report.append(takeoverTimes);
        coordinators.forEach((number, values) -> report.append(String.format(
                Locale.ROOT,
                "coordinator %d: lines sent %.0f, most waiting %.0f, decision failures %.0f%n",
                number,
                values.getOrDefault("channel.lines.sent", 0.0),
                values.getOrDefault("channel.lines.most", 0.0),
                values.getOrDefault("decision.failures", 0.0))));
        if (!overloadedCold.isEmpty()) {
            report.append("fell over cold: ").append(overloadedCold).append('\n');
        }
        appendRules(report);
        return report.toString();
    }

    /** Writes one HTML file with the figures, the rules and the load generator's charts. */
    public void html(Path file) throws IOException {
        List<String> rules = new ArrayList<>();
        ruleSummaries().forEach((rule, line) -> rules.add((verdict.broke(rule) ? "BROKEN: " : "kept: ") + line));
        Html.write(
                file,
                String.format(
                        Locale.ROOT,
                        "A day, seed %d: service %.3f, worst 10 s %.3f",
                        script.seed,
                        service(),
                        worstWindow()),
                "Stand-in servers on one machine; latency is what clients saw, from the intended start.",
                scenario,
                result,
                rules,
                text());
    }

    /** Appends whether each rule is kept, with up to five findings of each that is not. */
    private void appendRules(StringBuilder report) {
        report.append("\nthe rules, from what passed on the sockets\n");
        Map<Audit.Rule, String> summaries = ruleSummaries();
        for (Audit.Rule rule : Audit.rules()) {
            report.append(verdict.broke(rule) ? "  BROKEN " : "  kept   ")
                    .append(summaries.get(rule))
                    .append('\n');
            verdict.findings().stream().filter(f -> f.rule() == rule).limit(5).forEach(f -> report.append("           ")
                    .append(f.evidence())
                    .append('\n'));
        }
        if (recordsLost > 0) {
            report.append("  ").append(recordsLost).append(" records did not fit: the verdict does not hold\n");
        }
    }

    /** Returns a line for each rule with the worst figure that was seen. */
    private Map<Audit.Rule, String> ruleSummaries() {
        Map<Audit.Rule, String> summaries = new TreeMap<>();
        summaries.put(
                Audit.Rule.BARE,
                String.format(
                        Locale.ROOT,
                        "nobody left without a backend: longest %.2f s of %.2f s",
                        verdict.longestBareNs() / 1e9,
                        config.noBackendLimitNs / 1e9));
        summaries.put(Audit.Rule.TWICE, "no effect twice: " + verdict.attempts() + " attempts looked at");
        summaries.put(
                Audit.Rule.DRAIN,
                String.format(
                        Locale.ROOT,
                        "drains kept: the last send %.2f s after the word, %.2f s " + "allowed",
                        verdict.longestDrainNs() / 1e9,
                        config.graceNs / 1e9));
        summaries.put(
                Audit.Rule.COLD,
                String.format(
                        Locale.ROOT, "no cold backend pushed over: at most %.2f of the budget", verdict.maxColdLoad()));
        summaries.put(
                Audit.Rule.QUEUE,
                String.format(
                        Locale.ROOT,
                        "a short queue: %.0f lines of %.0f, %d messages%s",
                        verdict.maxQueuedLines(),
                        config.queueLines,
                        verdict.maxMessagesInSpan(),
                        config.maxMessages > 0 ? " of " + config.maxMessages : ""));
        summaries.put(Audit.Rule.VOICE, "one voice: no slice had two under one term, no proxy took an older one");
        return summaries;
    }

    /** Counts flows that were neither answered nor blocked, whatever the cause. */
    private static long dropped(List<FlowEnd> some) {
        return some.stream()
                .filter(f -> !f.answered() && f.outcome() != Result.Outcome.BLOCKED)
                .count();
    }

    private static long count(List<FlowEnd> some, Result.Outcome outcome) {
        return some.stream().filter(f -> f.outcome() == outcome).count();
    }

    /**
     * Returns a percentile of the latency of answered flows from their intended start, in ms.
     *
     * @param quantile 0 to 1
     */
    private static double percentileMs(List<FlowEnd> some, double quantile) {
        long[] latencies = some.stream()
                .filter(FlowEnd::answered)
                .mapToLong(FlowEnd::latencyNs)
                .sorted()
                .toArray();
        return latencies.length == 0
                ? 0
                : latencies[(int) Math.min(latencies.length - 1, quantile * latencies.length)] / 1e6;
    }
}
