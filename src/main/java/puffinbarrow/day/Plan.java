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

/**
 * Derives settings, traffic, server speeds and proxies' shares of traffic from a script, for sockets and the emulator
 * alike. {@link Day} and the emulator create one for each day; it does no input or output.
 */
public final class Plan {
    private static final long SECOND = 1_000_000_000L;

    private final Script script;
    private final UniformRandomProvider random;

    /** Makes a plan with random numbers seeded by the script. */
    public Plan(Script script) {
        this.script = script;
        this.random = randomSource(1);
    }

    /** Returns a random stream for one component; each has its own, so that a new one does not change the others. */
    UniformRandomProvider randomSource(long component) {
        return RandomSource.XO_RO_SHI_RO_128_PP.create(script.seed * 1_000_003 + component);
    }

    /** Returns the stream that speeds, shares of traffic and the backends of faults are drawn from, in this order. */
    public UniformRandomProvider random() {
        return random;
    }

    /** Draws the next server's speed, as a multiple of the nominal one. */
    public double drawSpeed() {
        return script.speedLow + (script.speedHigh - script.speedLow) * random.nextDouble();
    }

    /** Draws the next proxy's weight in the traffic, 0.3 to 2.3: most proxies carry little, a few far more. */
    public double drawTrafficWeight() {
        return 0.3 + 2 * Math.pow(random.nextDouble(), 3);
    }

    /**
     * Returns a coordinator's settings without addresses.
     *
     * @param more further settings, which replace those of the script
     */
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
                "cold-share " + script.coldShare,
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
        List<String> overrides = new ArrayList<>(script.settings);
        overrides.addAll(more);
        for (String line : overrides) {
            String keyword = line.split(" ")[0];
            boolean group = keyword.equals("group");
            // A script's own groups replace the built-in ones; other keywords replace their line.
            lines.removeIf(existing -> existing.startsWith(keyword + " ") && (!group || !overrides.contains(existing)));
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

    /** Returns settings with placeholder addresses, for the audit and all users that open no sockets. */
    public CoordinatorConfig configWithoutAddresses(int number, List<String> more) {
        List<String> lines = settings(number, more);
        lines.add("registry 127.0.0.1:1 " + (script.pollsRegistry ? "ask" : "push"));
        lines.add("store 127.0.0.1:1");
        return parse(lines);
    }

    /** Parses settings that must be valid. */
    static CoordinatorConfig parse(List<String> lines) {
        List<Problem> problems = new ArrayList<>();
        CoordinatorConfig config = CoordinatorConfig.parse("day", String.join("\n", lines) + "\n", problems);
        if (!problems.isEmpty()) {
            throw new IllegalArgumentException("invalid settings of the day: " + problems);
        }
        return config;
    }

    /**
     * Returns the settings that the audit checks against. The grace period and the limit on time without a backend are
     * divided by the lowest pace of the script, and extended by the time for which coordinators are stopped or
     * suspended, since orders reach the proxies that much later.
     */
    public CoordinatorConfig auditConfig() {
        double pace = 1;
        long stoppedNs = 0;
        long suspendedNs = 0;
        for (Script.Fault fault : script.faults) {
            pace = fault.kind() == Script.Kind.PACE ? Math.min(pace, fault.share()) : pace;
            stoppedNs += fault.kind() == Script.Kind.STOP ? fault.durationNs() : 0;
            // A suspended coordinator keeps its slices for a lease at most, and they are taken over soon after.
            suspendedNs =
                    fault.kind() == Script.Kind.FREEZE ? Math.min(fault.durationNs(), 2 * script.leaseNs) : suspendedNs;
        }
        CoordinatorConfig config = configWithoutAddresses(0, List.of());
        config.graceNs = (long) (config.graceNs / pace) + stoppedNs + suspendedNs;
        config.noBackendLimitNs = (long) (config.noBackendLimitNs / pace) + stoppedNs + suspendedNs;
        return config;
    }

    /** Returns a backend's entry in the server list, with its nominal size; its real capacity differs by its speed. */
    public static Event.Entry listEntry(BackendControl backend, Event.Listed listed) {
        return new Event.Entry(backend.id(), backend.zone(), 0, backend.cell(), listed, 1, backend.startedAtNs());
    }

    /** Returns the longest time for which servers recognize repeats of a deduped flow, in ns. */
    public static long dedupNs(CoordinatorConfig config) {
        return config.groups.stream()
                .mapToLong(CoordinatorConfig.Group::dedupWindowNs)
                .max()
                .orElse(0);
    }

    /** Returns the longest expiry of any traffic group, in ns. */
    public static long longestExpiry(CoordinatorConfig config) {
        return config.groups.stream()
                .mapToLong(CoordinatorConfig.Group::expiryNs)
                .max()
                .orElse(SECOND);
    }

    /**
     * Returns the day's traffic as a scenario of the load generator. The mean work of a flow is a fifth of its group's
     * latency budget on one core, and work and slices are as uneven as in the deployments. Faults that change the
     * traffic become part of the scenario.
     *
     * @param targets the proxies' addresses
     * @param weights the weight of each target in the traffic, in the same order
     */
    public Scenario traffic(CoordinatorConfig config, List<InetSocketAddress> targets, List<Double> weights) {
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
                    .append(Net.formatAddress(targets.get(i)))
                    .append(String.format(Locale.ROOT, " weight %.4f%n", weights.get(i)));
        }
        for (CoordinatorConfig.Group group : config.groups) {
            text.append(String.format(
                    Locale.ROOT,
                    "group %s share 1 utility %s budget %dms expiry %dms path /flow method POST " + "work %dus%s%s%n",
                    group.name(),
                    group.utility(),
                    group.budgetNs() / 1_000_000,
                    group.expiryNs() / 1_000_000,
                    group.budgetNs() / 5000,
                    script.workSpread > 0 ? " spread " + script.workSpread : "",
                    group.retrySafety() == CoordinatorConfig.RetrySafety.RETRIABLE ? "" : " non-retriable"));
        }
        for (Script.Fault fault : script.faults) {
            String period = fault.atNs() / 1_000_000 + "ms for " + fault.durationNs() / 1_000_000 + "ms";
            switch (fault.kind()) {
                case TRAFFIC -> text.append(
                        String.format(Locale.ROOT, "shape jump x %s at %s%n", fault.factor(), period));
                case PEAK -> text.append(String.format(
                        Locale.ROOT,
                        "shape peak x %s at %dms width %dms%n",
                        fault.factor(),
                        (fault.atNs() + fault.durationNs() / 2) / 1_000_000,
                        fault.durationNs() / 1_000_000));
                case HOT -> text.append(String.format(
                        Locale.ROOT, "hot %d keys %.4f%% at %s%n", fault.number(), 100 * fault.share(), period));
                case HEAVY -> text.append(String.format(
                        Locale.ROOT, "heavy %.4f%% x %s at %s%n", 100 * fault.share(), fault.factor(), period));
                default -> {}
            }
        }
        List<Problem> problems = new ArrayList<>();
        Scenario scenario = Scenario.parse("traffic", text.toString(), problems);
        if (!problems.isEmpty()) {
            throw new IllegalArgumentException("invalid traffic of the day: " + problems);
        }
        return scenario;
    }
}
