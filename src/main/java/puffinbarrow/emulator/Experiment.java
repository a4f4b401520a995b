package puffinbarrow.emulator;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import puffinbarrow.config.Lines;
import puffinbarrow.config.Problem;
import puffinbarrow.config.Statement;
import puffinbarrow.config.Words;

/**
 * What an experiment varies: a base day, lines drawn anew for each seed, factors with levels, policies and seeds. A run is
 * a day's text and a policy; later lines of a text win over earlier ones of their keyword. docs/emulator.md lists the lines.
 */
public final class Experiment {
    /** A line that stands in a day's text, or with a probability does; {@code name} groups its runs in reports. */
    public record Drawn(double share, String name, String template) {}

    /** One day with one policy. */
    public record Run(List<String> levels, String policy, long seed) {
        String key() {
            return String.join("/", levels) + "|" + policy + "|" + seed;
        }
    }

    private static final List<String> KEYWORDS =
            List.of("name", "day", "line", "level", "draw", "maybe", "policy", "seeds", "most-events");
    private static final Pattern RANGE = Pattern.compile("\\{(-?[0-9.]+?)\\.\\.(-?[0-9.]+?)}");

    public String name = "experiment";
    public final Map<String, Map<String, List<String>>> factors = new LinkedHashMap<>();
    public final List<Drawn> drawn = new ArrayList<>();
    public final List<String> policies = new ArrayList<>();
    public long firstSeed = 1, lastSeed = 10;
    public long mostEvents = 500_000_000L;
    private final List<String> lines = new ArrayList<>();
    private String base = "";

    private Experiment() {}

    /** @param builtIn the text of a day that comes with the program, or null */
    public static Experiment read(Path file, Function<String, String> builtIn, List<Problem> problems) {
        return of(Lines.read(file, problems), file, builtIn, problems);
    }

    public static Experiment parse(String name, String text, Function<String, String> builtIn, List<Problem> problems) {
        return of(Lines.parse(name, text, problems), Path.of(name), builtIn, problems);
    }

    private static Experiment of(
            List<Statement> statements, Path file, Function<String, String> builtIn, List<Problem> problems) {
        Experiment experiment = new Experiment();
        for (Statement statement : statements) {
            Words w = new Words(statement, problems);
            experiment.take(statement, w, file, builtIn);
            w.end();
        }
        if (experiment.policies.isEmpty()) {
            experiment.policies.add("ours");
        }
        if (problems.isEmpty()) {
            experiment.check(file.toString(), problems);
        }
        return experiment;
    }

    private void take(Statement statement, Words w, Path file, Function<String, String> builtIn) {
        switch (statement.keyword()) {
            case "name" -> name = w.text("the experiment's name");
            case "day" -> {
                String day = w.text("a day's file, or default or monday");
                Path beside = file.toAbsolutePath().resolveSibling(day);
                try {
                    String own = Files.exists(beside)
                            ? Files.readString(beside, StandardCharsets.UTF_8)
                            : builtIn.apply(day);
                    if (own == null) {
                        w.wrong("'" + day + "'", "a day's file beside this one, or default or monday");
                    } else {
                        base = own;
                    }
                } catch (IOException unreadable) {
                    w.wrong("'" + day + "', which cannot be read", "a day's file");
                }
            }
            case "line" -> lines.add(rest(w));
            case "level" -> {
                String factor = w.text("the factor's name");
                String level = w.text("the level's name");
                List<String> own = new ArrayList<>();
                while (w.more()) {
                    own.add(w.text("a day's line in quotes"));
                }
                if (factors.computeIfAbsent(factor, f -> new LinkedHashMap<>()).put(level, own) != null) {
                    w.wrong("level " + level + " of " + factor + " again", "each level once");
                }
            }
            case "draw" -> drawn.add(new Drawn(1, "", rest(w)));
            case "maybe" -> {
                double share = w.share("how often it stands");
                String called = w.text("its name in reports");
                drawn.add(new Drawn(share, called, rest(w)));
            }
            case "policy" -> {
                do {
                    String policy = w.text("a policy");
                    if (w.sound() && Policy.named(policy) == null) {
                        w.wrong(
                                "'" + policy + "'",
                                "one of "
                                        + String.join(
                                                ", ",
                                                Policy.ALL.stream()
                                                        .map(Policy::name)
                                                        .toList()));
                    }
                    policies.add(policy);
                } while (w.more());
            }
            case "seeds" -> {
                firstSeed = w.whole("the first seed", 0, Long.MAX_VALUE / 2);
                w.expect("to");
                lastSeed = w.whole("the last seed", firstSeed, firstSeed + 1_000_000);
            }
            case "most-events" -> mostEvents = w.whole("events after which a run has failed", 1, Long.MAX_VALUE);
            default -> w.unknown(KEYWORDS);
        }
    }

    private static String rest(Words w) {
        StringBuilder line = new StringBuilder();
        do {
            line.append(line.length() > 0 ? " " : "").append(w.text("a day's line"));
        } while (w.more());
        return line.toString();
    }

    /** Each combination of levels must be a sound day, at both ends of every range. */
    private void check(String file, List<Problem> problems) {
        for (List<String> levels : combinations()) {
            for (int end = 0; end < 2; end++) {
                int at = end;
                List<String> own = new ArrayList<>();
                drawn.forEach(d -> own.add(fill(d.template, (low, high) -> at == 0 ? low : high)));
                List<Problem> found = new ArrayList<>();
                Setup.parse(
                        file + " as a day" + (levels.isEmpty() ? "" : " at " + levels),
                        text(own, levels, firstSeed),
                        found);
                for (Problem problem : found) {
                    if (problems.stream().noneMatch(p -> p.text().equals(problem.text()))) {
                        problems.add(problem);
                    }
                }
            }
        }
    }

    private interface Choose {
        double between(double low, double high);
    }

    private static String fill(String template, Choose choose) {
        Matcher range = RANGE.matcher(template);
        StringBuilder out = new StringBuilder();
        while (range.find()) {
            double low = Double.parseDouble(range.group(1));
            double high = Double.parseDouble(range.group(2));
            boolean whole = !range.group(1).contains(".") && !range.group(2).contains(".");
            double value = choose.between(low, high);
            range.appendReplacement(
                    out, whole ? Long.toString((long) Math.floor(value)) : String.format(Locale.ROOT, "%.3f", value));
        }
        return range.appendTail(out).toString();
    }

    static UniformRandomProvider chance(long seed) {
        return RandomSource.XO_RO_SHI_RO_128_PP.create(seed * 7_368_787 + 11);
    }

    /** One line as drawn. */
    static String draw(Drawn of, UniformRandomProvider chance) {
        return fill(of.template, (low, high) -> {
            // Whole numbers up to the high end, itself included.
            boolean whole = low == Math.rint(low) && high == Math.rint(high);
            return whole
                    ? low + chance.nextLong(Math.max(1, (long) (high - low) + 1))
                    : low + (high - low) * chance.nextDouble();
        });
    }

    /** The drawn lines of a seed: the same for all levels and policies, so that runs can be compared in pairs. */
    List<String> draws(long seed) {
        return standing(seed).stream().map(Standing::line).toList();
    }

    private record Standing(Drawn of, String line) {}

    private List<Standing> standing(long seed) {
        List<Standing> own = new ArrayList<>();
        UniformRandomProvider chance = chance(seed);
        for (Drawn each : drawn) {
            boolean stands = chance.nextDouble() < each.share;
            String line = draw(each, chance);
            if (stands) {
                own.add(new Standing(each, line));
            }
        }
        return own;
    }

    /** Which of the named lines stand at a seed. */
    public List<String> troubles(long seed) {
        return standing(seed).stream()
                .map(s -> s.of.name)
                .filter(n -> !n.isEmpty())
                .distinct()
                .toList();
    }

    /** A day's text. */
    String text(List<String> draws, List<String> levels, long seed) {
        StringBuilder text = new StringBuilder(base).append('\n');
        lines.forEach(l -> text.append(l).append('\n'));
        draws.forEach(l -> text.append(l).append('\n'));
        int i = 0;
        for (Map<String, List<String>> factor : factors.values()) {
            if (i < levels.size()) {
                factor.get(levels.get(i++)).forEach(l -> text.append(l).append('\n'));
            }
        }
        return text.append("seed ").append(seed).append('\n').toString();
    }

    String text(Run run) {
        return text(draws(run.seed), run.levels, run.seed);
    }

    List<List<String>> combinations() {
        List<List<String>> all = new ArrayList<>();
        all.add(List.of());
        for (Map<String, List<String>> factor : factors.values()) {
            List<List<String>> longer = new ArrayList<>();
            for (List<String> so : all) {
                for (String level : factor.keySet()) {
                    List<String> more = new ArrayList<>(so);
                    more.add(level);
                    longer.add(more);
                }
            }
            all = longer;
        }
        return all;
    }

    /** All runs in the order of the results. */
    public List<Run> runs() {
        List<Run> runs = new ArrayList<>();
        for (List<String> levels : combinations()) {
            for (String policy : policies) {
                for (long seed = firstSeed; seed <= lastSeed; seed++) {
                    runs.add(new Run(levels, policy, seed));
                }
            }
        }
        return runs;
    }

    /** What tells this experiment from another: everything that its results follow from. */
    public String identity() {
        return String.join(
                "\n",
                List.of(
                        base,
                        lines.toString(),
                        drawn.toString(),
                        factors.toString(),
                        policies.toString(),
                        firstSeed + " to " + lastSeed,
                        Long.toString(mostEvents)));
    }
}
