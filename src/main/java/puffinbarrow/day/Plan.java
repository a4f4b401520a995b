package puffinbarrow.day;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import puffinbarrow.config.CoordinatorConfig;
import puffinbarrow.config.Problem;
import puffinbarrow.control.Event;
import puffinbarrow.load.Scenario;
import puffinbarrow.net.Net;

/** What follows from a script alone, on sockets and in the emulator alike: settings, traffic, speeds and parts. Pure. */
public final class Plan {
    private static final long SECOND = 1_000_000_000L;

    private final Script script;
    private final UniformRandomProvider chance;

    public Plan(Script script) {
        this.script = script;
        this.chance = source(1);
    }

    /** A stream of its own for each part, so that one more part does not change the others. */
    UniformRandomProvider source(long part) {
        return RandomSource.XO_RO_SHI_RO_128_PP.create(script.seed * 1_000_003 + part);
    }

    /** The stream that speeds, parts and the choice of who is struck are drawn from, in this order. */
    public UniformRandomProvider chance() {
        return chance;
    }

    /** The next server's speed. */
    public double speed() {
        return script.speedLow + (script.speedHigh - script.speedLow) * chance.nextDouble();
    }

    /** The next proxy's part of the traffic: most clients' proxies carry little, some far more. */
    public double part() {
        return 0.3 + 2 * Math.pow(chance.nextDouble(), 3);
    }

    /** A coordinator's settings but for addresses. */
    public List<String> settings(int number, List<String> more) {
        List<String> lines = new ArrayList<>(List.of(
                "coordinator " + number + " of " + script.coordinators,
                "zones " + zoneNames(),
                "zone zone-" + number % script.zones,
                "seed " + (script.seed + number),
                "slices " + script.slices,
                "grace 3s",
                "bare 6s",
                "warm " + script.coldNs / 1_000_000 + "ms",
                "cold-share " + script.coldFrom,
                "fall-multiple 4 for 1.5s",
                "queue 4200",
                "pace 2800",
                "head 12",
                "messages 20 per 10s",
                "round 1s",
                "intake 300",
                "levels share",
                "idle 6s",
                "group basket-price utility 1 budget 1.5s expiry 5s retriable",
                "group stock-hold utility 3 budget 500ms expiry 1.2s retriable",
                "group courier-booking utility 2 budget 800ms expiry 2s non-retriable"));
        if (script.leaseNs > 0) {
            lines.add("lease " + script.leaseNs / 1_000_000 + "ms");
        }
        List<String> own = new ArrayList<>(script.settings);
        own.addAll(more);
        for (String line : own) {
            String keyword = line.split(" ")[0];
            boolean group = keyword.equals("group");
            // A script's own groups replace the built-in ones; other keywords replace their line.
            lines.removeIf(l -> l.startsWith(keyword + " ") && (!group || !own.contains(l)));
            lines.add(line);
        }
        return lines;
    }

    private String zoneNames() {
        StringBuilder names = new StringBuilder();
        for (int i = 0; i < script.zones; i++) {
            names.append("zone-").append(i).append(' ');
        }
        return names.toString().trim();
    }

    /** Settings for the audit and for what runs without addresses. */
    public CoordinatorConfig config(int number, List<String> more) {
        List<String> lines = settings(number, more);
        lines.add("registry 127.0.0.1:1 " + (script.ask ? "ask" : "push"));
        lines.add("store 127.0.0.1:1");
        return parse(lines);
    }

    static CoordinatorConfig parse(List<String> lines) {
        List<Problem> problems = new ArrayList<>();
        CoordinatorConfig config = CoordinatorConfig.parse("day", String.join("\n", lines) + "\n", problems);
        if (!problems.isEmpty()) {
            throw new IllegalArgumentException("settings of the day: " + problems);
        }
        return config;
    }

    /** The day's rules: where a channel was slow or stood, times in the rules grow, as WIRE's fifth rule says. */
    public CoordinatorConfig stretched() {
        double part = 1;
        long stops = 0;
        long silent = 0;
        for (Script.Trouble trouble : script.troubles) {
            part = trouble.kind() == Script.Kind.PACE ? Math.min(part, trouble.share()) : part;
            stops += trouble.kind() == Script.Kind.STOP ? trouble.forNs() : 0;
            // One that stands still keeps its charges for a lease at most, and is taken over in little more.
            silent = trouble.kind() == Script.Kind.FREEZE ? Math.min(trouble.forNs(), 2 * script.leaseNs) : silent;
        }
        CoordinatorConfig config = config(0, List.of());
        config.graceNs = (long) (config.graceNs / part) + stops + silent;
        config.bareNs = (long) (config.bareNs / part) + stops + silent;
        return config;
    }

    /** A machine's line in the list. The size is the nominal one; what a machine really does differs by its speed. */
    public static Event.Entry entry(Machine machine, Event.Listed listed) {
        return new Event.Entry(machine.id(), machine.zone(), 0, machine.cell(), listed, 1, machine.startedAt());
    }

    /** How long the longest repeat of a deduped flow is known. */
    public static long dedupNs(CoordinatorConfig config) {
        return config.groups.stream()
                .mapToLong(CoordinatorConfig.Group::windowNs)
                .max()
                .orElse(0);
    }

    public static long longestExpiry(CoordinatorConfig config) {
        return config.groups.stream()
                .mapToLong(CoordinatorConfig.Group::expiryNs)
                .max()
                .orElse(SECOND);
    }

    /**
     * The day's traffic as the load generator takes it: shorter budgets go with less work, as in the deployments, a
     * fifth of the budget on one core; work and slices uneven as theirs; what strikes traffic is part of the arrivals.
     *
     * @param parts of the traffic, a proxy each, at the targets in the same order
     */
    public Scenario traffic(CoordinatorConfig judged, List<InetSocketAddress> targets, List<Double> parts) {
        StringBuilder text = new StringBuilder(String.format(
                Locale.ROOT,
                "seed %d%nrate %s%nlength %dms%nslices %d uneven 0.4 "
                        + "to 1.6 keys 40%nretries %d wait 100ms%nconnections 5000%n",
                script.seed,
                script.rate,
                script.lengthNs / 1_000_000,
                script.slices,
                script.retries));
        for (int i = 0; i < targets.size(); i++) {
            text.append("target ")
                    .append(Net.text(targets.get(i)))
                    .append(String.format(Locale.ROOT, " weight %.4f%n", parts.get(i)));
        }
        for (CoordinatorConfig.Group group : judged.groups) {
            text.append(String.format(
                    Locale.ROOT,
                    "group %s share 1 utility %s budget %dms expiry %dms path /flow method POST " + "work %dus%s%s%n",
                    group.name(),
                    group.utility(),
                    group.budgetNs() / 1_000_000,
                    group.expiryNs() / 1_000_000,
                    group.budgetNs() / 5000,
                    script.workSpread > 0 ? " spread " + script.workSpread : "",
                    group.repeats() == CoordinatorConfig.Repeats.RETRIABLE ? "" : " non-retriable"));
        }
        for (Script.Trouble t : script.troubles) {
            String lasts = t.atNs() / 1_000_000 + "ms for " + t.forNs() / 1_000_000 + "ms";
            switch (t.kind()) {
                case TRAFFIC -> text.append(String.format(Locale.ROOT, "shape jump x %s at %s%n", t.factor(), lasts));
                case PEAK -> text.append(String.format(
                        Locale.ROOT,
                        "shape peak x %s at %dms width %dms%n",
                        t.factor(),
                        (t.atNs() + t.forNs() / 2) / 1_000_000,
                        t.forNs() / 1_000_000));
                case HOT -> text.append(
                        String.format(Locale.ROOT, "hot %d keys %.4f%% at %s%n", t.number(), 100 * t.share(), lasts));
                case HEAVY -> text.append(
                        String.format(Locale.ROOT, "heavy %.4f%% x %s at %s%n", 100 * t.share(), t.factor(), lasts));
                default -> {}
            }
        }
        List<Problem> problems = new ArrayList<>();
        Scenario scenario = Scenario.parse("traffic", text.toString(), problems);
        if (!problems.isEmpty()) {
            throw new IllegalArgumentException("traffic of the day: " + problems);
        }
        return scenario;
    }
}
