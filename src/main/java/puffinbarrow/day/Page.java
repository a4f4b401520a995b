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
import puffinbarrow.load.Ended;
import puffinbarrow.load.Html;
import puffinbarrow.load.Result;
import puffinbarrow.load.Scenario;

/** The figures of a day, and the page that shows them. All figures are of stand-in servers on one machine. */
public record Page(
        Script script,
        CoordinatorConfig config,
        Audit.Verdict verdict,
        List<Ended> flows,
        Scenario scenario,
        Result result,
        long beganAt,
        long recordsLost,
        Map<Integer, Map<String, Double>> coordinators,
        List<String> troubles,
        List<String> signs,
        String silence,
        long handed,
        long moves,
        long refusedWrites,
        long retried,
        List<String> fell,
        long sentToStruck) {

    private static final long SECOND = 1_000_000_000L;
    private static final long WINDOW = 10 * SECOND;

    /** Utility answered within the latency budget over utility asked for; a flow late earns a fifth. */
    public double service() {
        return service(flows);
    }

    private double service(List<Ended> of) {
        double asked = 0;
        double got = 0;
        for (Ended flow : of) {
            double utility = config.groups.get(flow.group()).utility();
            asked += utility;
            got += flow.outcome() == Result.Outcome.IN_BUDGET
                    ? utility
                    : flow.outcome() == Result.Outcome.LATE ? utility / 5 : 0;
        }
        return asked == 0 ? 1 : got / asked;
    }

    public double worstWindow() {
        double worst = 1;
        for (long from = 0; from + WINDOW <= script.lengthNs; from += SECOND) {
            worst = Math.min(worst, service(between(from, from + WINDOW)));
        }
        return worst;
    }

    /** The same for flows begun within that part of the day. */
    public double service(long fromNs, long toNs) {
        return service(between(fromNs, toNs));
    }

    private List<Ended> between(long from, long to) {
        return flows.stream()
                .filter(f -> f.startNs() - beganAt >= from && f.startNs() - beganAt < to)
                .toList();
    }

    /** Whether every flow has one end, every record was kept, and the rules are. */
    public boolean sound() {
        return verdict.kept() && recordsLost == 0 && result.whole() && result.intended == flows.size();
    }

    public String text() {
        StringBuilder page =
                new StringBuilder("\nThe day, as its sockets saw it (stand-in servers on one machine)\n\n");
        page.append(String.format(
                Locale.ROOT,
                "service %.3f   worst 10 s %.3f   flows %d intended, %d ended%n",
                service(),
                worstWindow(),
                result.intended,
                flows.size()));
        page.append(String.format(
                "%n%-18s %8s %9s %7s %8s %8s %8s %8s%n",
                "group", "service", "delivered", "late", "blocked", "dropped", "p50 ms", "p99 ms"));
        for (int group = 0; group < config.groups.size(); group++) {
            int number = group;
            List<Ended> own = flows.stream().filter(f -> f.group() == number).toList();
            page.append(String.format(
                    Locale.ROOT,
                    "%-18s %8.3f %9d %7d %8d %8d %8.0f %8.0f%n",
                    config.groups.get(group).name(),
                    service(own),
                    count(own, Result.Outcome.IN_BUDGET),
                    count(own, Result.Outcome.LATE),
                    count(own, Result.Outcome.BLOCKED),
                    dropped(own),
                    percentile(own, 0.5),
                    percentile(own, 0.99)));
        }
        page.append("\n   from    flows  service   p99 ms  what went wrong\n");
        for (long from = 0; from < script.lengthNs; from += 2 * SECOND) {
            List<Ended> some = between(from, from + 2 * SECOND);
            double service = service(some);
            long begins = from;
            List<String> struck = new ArrayList<>();
            for (Script.Trouble t : script.troubles) {
                if (t.atNs() >= begins && t.atNs() < begins + 2 * SECOND) {
                    struck.add(t.text());
                }
            }
            page.append(String.format(
                    Locale.ROOT,
                    "%5.0f s  %7d  %7.3f  %7.0f  %s%n",
                    from / 1e9,
                    some.size(),
                    service,
                    percentile(some, 0.99),
                    String.join("; ", struck)));
        }
        page.append("\nwhat was done\n");
        troubles.forEach(line -> page.append("  ").append(line).append('\n'));
        page.append("\nwhat showed on the sockets while each lasted, and 3 s after (lines and masks at proxy 0)\n");
        signs.forEach(line -> page.append("  ").append(line).append('\n'));
        page.append(String.format(
                Locale.ROOT,
                "%norders %d messages   tries again by proxies %d   charges handed on %d   "
                        + "writes refused by the store %d%n",
                verdict.ordersFrames(),
                retried,
                handed,
                refusedWrites));
        page.append(silence);
        coordinators.forEach((number, values) -> page.append(String.format(
                Locale.ROOT,
                "coordinator %d: lines sent %.0f, most waiting %.0f, decision failures %.0f%n",
                number,
                values.getOrDefault("channel.lines.sent", 0.0),
                values.getOrDefault("channel.lines.most", 0.0),
                values.getOrDefault("decision.failures", 0.0))));
        if (!fell.isEmpty()) {
            page.append("fell over cold: ").append(fell).append('\n');
        }
        rules(page);
        return page.toString();
    }

    /** One file with the figures, the rules and the load generator's charts. */
    public void html(Path file) throws IOException {
        List<String> rules = new ArrayList<>();
        worst().forEach((rule, line) -> rules.add((verdict.broke(rule) ? "BROKEN: " : "kept: ") + line));
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

    private void rules(StringBuilder page) {
        page.append("\nthe rules, from what passed on the sockets\n");
        Map<Audit.Rule, String> worst = worst();
        for (Audit.Rule rule : Audit.rules()) {
            page.append(verdict.broke(rule) ? "  BROKEN " : "  kept   ")
                    .append(worst.get(rule))
                    .append('\n');
            verdict.findings().stream().filter(f -> f.rule() == rule).limit(5).forEach(f -> page.append("           ")
                    .append(f.evidence())
                    .append('\n'));
        }
        if (recordsLost > 0) {
            page.append("  ").append(recordsLost).append(" records did not fit: the verdict does not hold\n");
        }
    }

    private Map<Audit.Rule, String> worst() {
        Map<Audit.Rule, String> worst = new TreeMap<>();
        worst.put(
                Audit.Rule.BARE,
                String.format(
                        Locale.ROOT,
                        "nobody left without a backend: longest %.2f s of %.2f s",
                        verdict.longestBareNs() / 1e9,
                        config.bareNs / 1e9));
        worst.put(Audit.Rule.TWICE, "no effect twice: " + verdict.attempts() + " attempts looked at");
        worst.put(
                Audit.Rule.DRAIN,
                String.format(
                        Locale.ROOT,
                        "drains kept: the last send %.2f s after the word, %.2f s " + "allowed",
                        verdict.latestDrainNs() / 1e9,
                        config.graceNs / 1e9));
        worst.put(
                Audit.Rule.COLD,
                String.format(
                        Locale.ROOT,
                        "no cold backend pushed over: at most %.2f of the budget",
                        verdict.mostColdPart()));
        worst.put(
                Audit.Rule.QUEUE,
                String.format(
                        Locale.ROOT,
                        "a short queue: %.0f lines of %.0f, %d messages%s",
                        verdict.mostQueued(),
                        config.queueLines,
                        verdict.mostMessages(),
                        config.messages > 0 ? " of " + config.messages : ""));
        worst.put(Audit.Rule.VOICE, "one voice: no slice had two under one term, no proxy took an older one");
        return worst;
    }

    /** Neither answered nor blocked: by whatever cause. */
    private static long dropped(List<Ended> of) {
        return of.stream()
                .filter(f -> !f.answered() && f.outcome() != Result.Outcome.BLOCKED)
                .count();
    }

    private static long count(List<Ended> of, Result.Outcome outcome) {
        return of.stream().filter(f -> f.outcome() == outcome).count();
    }

    /** Of answered flows, from their intended start. */
    private static double percentile(List<Ended> of, double part) {
        long[] took = of.stream()
                .filter(Ended::answered)
                .mapToLong(Ended::tookNs)
                .sorted()
                .toArray();
        return took.length == 0 ? 0 : took[(int) Math.min(took.length - 1, part * took.length)] / 1e6;
    }
}
