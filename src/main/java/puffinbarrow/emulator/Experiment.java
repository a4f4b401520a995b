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
import puffinbarrow.config.ArgumentReader;
import puffinbarrow.config.Problem;
import puffinbarrow.config.Statement;
import puffinbarrow.config.StatementReader;

/**
 * Describes an experiment: a base day, lines drawn at random for each seed, factors with levels, policies and seeds. A
 * run is the text of a day and a policy; in a text, a later line overrides earlier ones of its keyword.
 * docs/emulator.md lists the lines of the file.
 */
public final class Experiment {
    /**
     * A line of the day with ranges to draw from, included with probability {@code share}; {@code name} groups its
     * runs in reports. The text of this record is part of {@link #identity}: its name and components must not change.
     */
    public record Drawn(double share, String name, String template) {}

    /** One day under one policy, with a level of each factor. */
    public record Run(List<String> levels, String policy, long seed) {
        /** Returns a key of the run that is unique in the experiment. */
        String key() {
            return String.join("/", levels) + "|" + policy + "|" + seed;
        }
    }

    private static final List<String> KEYWORDS =
            List.of("name", "day", "line", "level", "draw", "maybe", "policy", "seeds", "most-events");
    /**
     * A range such as {@code {2..8}} in a line; the value is written as an integer unless an end has a decimal
     * point.
     */
    private static final Pattern RANGE = Pattern.compile("\\{(-?[0-9.]+?)\\.\\.(-?[0-9.]+?)}");

    /** Title of the report. */
    public String name = "experiment";
    /** Factors by name, each with its levels, each of those with its lines. */
    public final Map<String, Map<String, List<String>>> factors = new LinkedHashMap<>();
    /** Lines drawn at random for each seed. */
    public final List<Drawn> drawnLines = new ArrayList<>();

    /** Names of the policies to compare; the first is the one that reports compare with the others. */
    public final List<String> policies = new ArrayList<>();
    /** Seeds of the runs: from the first to the last, both included. */
    public long firstSeed = 1;

    public long lastSeed = 10;
    /** Number of simulation events after which a run fails. */
    public long maxEvents = 500_000_000L;
    /** Lines added to every day. */
    private final List<String> fixedLines = new ArrayList<>();
    /** Text of the day that all runs start from. */
    private String baseDay = "";

    private Experiment() {}

    /**
     * Reads an experiment file.
     *
     * @param builtIn returns the text of a day that comes with the program, or null
     */
    public static Experiment read(Path file, Function<String, String> builtIn, List<Problem> problems) {
        return build(StatementReader.read(file, problems), file, builtIn, problems);
    }

    /** Reads an experiment from a text; {@code name} is the file name given in problems. */
    public static Experiment parse(String name, String text, Function<String, String> builtIn, List<Problem> problems) {
        return build(StatementReader.parse(name, text, problems), Path.of(name), builtIn, problems);
    }

    private static Experiment build(
            List<Statement> statements, Path file, Function<String, String> builtIn, List<Problem> problems) {
        Experiment experiment = new Experiment();
        for (Statement statement : statements) {
            ArgumentReader arguments = new ArgumentReader(statement, problems);
            experiment.readStatement(statement, arguments, file, builtIn);
            arguments.expectEnd();
        }
        if (experiment.policies.isEmpty()) {
            experiment.policies.add("ours");
        }
        if (problems.isEmpty()) {
            experiment.checkDays(file.toString(), problems);
        }
        return experiment;
    }

    /** Reads a line of the file. */
    private void readStatement(
            Statement statement, ArgumentReader arguments, Path file, Function<String, String> builtIn) {
        switch (statement.keyword()) {
            case "name" -> name = arguments.text("the experiment's name");
            case "day" -> {
                String day = arguments.text("the file of a day, or default or monday");
                Path besideFile = file.toAbsolutePath().resolveSibling(day);
                try {
                    String dayText = Files.exists(besideFile)
                            ? Files.readString(besideFile, StandardCharsets.UTF_8)
                            : builtIn.apply(day);
                    if (dayText == null) {
                        arguments.reportMistake(
                                "'" + day + "'", "the file of a day beside this one, or default or monday");
                    } else {
                        baseDay = dayText;
                    }
                } catch (IOException unreadable) {
                    arguments.reportMistake("'" + day + "', which cannot be read", "the file of a day");
                }
            }
            case "line" -> fixedLines.add(restOfLine(arguments));
            case "level" -> {
                String factor = arguments.text("the factor's name");
                String level = arguments.text("the level's name");
                List<String> levelLines = new ArrayList<>();
                while (arguments.hasMore()) {
                    levelLines.add(arguments.text("a line of a day in quotes"));
                }
                if (factors.computeIfAbsent(factor, f -> new LinkedHashMap<>()).put(level, levelLines) != null) {
                    arguments.reportMistake("level " + level + " of " + factor + " a second time", "each level once");
                }
            }
            case "draw" -> drawnLines.add(new Drawn(1, "", restOfLine(arguments)));
            case "maybe" -> {
                double share = arguments.share("the probability that the line is included");
                String reportName = arguments.text("the name of the line in reports");
                drawnLines.add(new Drawn(share, reportName, restOfLine(arguments)));
            }
            case "policy" -> {
                do {
                    String policy = arguments.text("a policy");
                    if (arguments.valid() && Policy.byName(policy) == null) {
                        arguments.reportMistake(
                                "'" + policy + "'",
                                "one of "
                                        + String.join(
                                                ", ",
                                                Policy.ALL.stream()
                                                        .map(Policy::name)
                                                        .toList()));
                    }
                    policies.add(policy);
                } while (arguments.hasMore());
            }
            case "seeds" -> {
                firstSeed = arguments.integer("the first seed", 0, Long.MAX_VALUE / 2);
                arguments.expect("to");
                lastSeed = arguments.integer("the last seed", firstSeed, firstSeed + 1_000_000);
            }
            case "most-events" -> maxEvents =
                    arguments.integer("events after which a run has failed", 1, Long.MAX_VALUE);
            default -> arguments.reportUnknownKeyword(KEYWORDS);
        }
    }

    /** Returns the remaining words as one line. */
    private static String restOfLine(ArgumentReader arguments) {
        StringBuilder line = new StringBuilder();
        do {
            line.append(line.length() > 0 ? " " : "").append(arguments.text("a line of a day"));
        } while (arguments.hasMore());
        return line.toString();
    }

    /** Checks that each combination of levels gives a valid day, at both ends of every range. */
    private void checkDays(String file, List<Problem> problems) {
        for (List<String> levels : levelCombinations()) {
            for (int end = 0; end < 2; end++) {
                int chosenEnd = end;
                List<String> dayLines = new ArrayList<>();
                drawnLines.forEach(
                        d -> dayLines.add(fillRanges(d.template, (low, high) -> chosenEnd == 0 ? low : high)));
                List<Problem> found = new ArrayList<>();
                EmulatedDay.parse(
                        file + " as a day" + (levels.isEmpty() ? "" : " at " + levels),
                        dayText(dayLines, levels, firstSeed),
                        found);
                for (Problem problem : found) {
                    if (problems.stream().noneMatch(p -> p.text().equals(problem.text()))) {
                        problems.add(problem);
                    }
                }
            }
        }
    }

    /** Chooses a value from a range. */
    private interface ValueChooser {
        double between(double low, double high);
    }

    /** Replaces each range of a template by a chosen value. */
    private static String fillRanges(String template, ValueChooser chooser) {
        Matcher range = RANGE.matcher(template);
        StringBuilder out = new StringBuilder();
        while (range.find()) {
            double low = Double.parseDouble(range.group(1));
            double high = Double.parseDouble(range.group(2));
            boolean integer = !range.group(1).contains(".") && !range.group(2).contains(".");
            double value = chooser.between(low, high);
            range.appendReplacement(
                    out, integer ? Long.toString((long) Math.floor(value)) : String.format(Locale.ROOT, "%.3f", value));
        }
        return range.appendTail(out).toString();
    }

    /** Returns the random generator of a seed. */
    static UniformRandomProvider random(long seed) {
        return RandomSource.XO_RO_SHI_RO_128_PP.create(seed * 7_368_787 + 11);
    }

    /** Returns a line with a value drawn for each of its ranges. */
    static String drawLine(Drawn drawn, UniformRandomProvider random) {
        return fillRanges(drawn.template, (low, high) -> {
            // If both ends are integers, only integers are drawn, the upper end included.
            boolean integer = low == Math.rint(low) && high == Math.rint(high);
            return integer
                    ? low + random.nextLong(Math.max(1, (long) (high - low) + 1))
                    : low + (high - low) * random.nextDouble();
        });
    }

    /**
     * Returns the drawn lines of a seed: the same for all levels and policies, so that runs can be compared in pairs.
     */
    List<String> draws(long seed) {
        return includedLines(seed).stream().map(IncludedLine::line).toList();
    }

    /** A drawn line that is included in the day of a seed. */
    private record IncludedLine(Drawn drawn, String line) {}

    /**
     * Draws the lines of a seed. A value is drawn for excluded lines too, so that draws of later lines do not depend
     * on earlier ones.
     */
    private List<IncludedLine> includedLines(long seed) {
        List<IncludedLine> lines = new ArrayList<>();
        UniformRandomProvider random = random(seed);
        for (Drawn each : drawnLines) {
            boolean included = random.nextDouble() < each.share;
            String line = drawLine(each, random);
            if (included) {
                lines.add(new IncludedLine(each, line));
            }
        }
        return lines;
    }

    /** Returns the names of the named lines that are included for a seed. */
    public List<String> faultNames(long seed) {
        return includedLines(seed).stream()
                .map(s -> s.drawn.name)
                .filter(n -> !n.isEmpty())
                .distinct()
                .toList();
    }

    /** Returns the text of a day. */
    String dayText(List<String> draws, List<String> levels, long seed) {
        StringBuilder text = new StringBuilder(baseDay).append('\n');
        fixedLines.forEach(l -> text.append(l).append('\n'));
        draws.forEach(l -> text.append(l).append('\n'));
        int i = 0;
        for (Map<String, List<String>> factor : factors.values()) {
            if (i < levels.size()) {
                factor.get(levels.get(i++)).forEach(l -> text.append(l).append('\n'));
            }
        }
        return text.append("seed ").append(seed).append('\n').toString();
    }

    /** Returns the text of the day of a run. */
    String dayText(Run run) {
        return dayText(draws(run.seed), run.levels, run.seed);
    }

    /** Returns all combinations of one level per factor. */
    List<List<String>> levelCombinations() {
        List<List<String>> all = new ArrayList<>();
        all.add(List.of());
        for (Map<String, List<String>> factor : factors.values()) {
            List<List<String>> longer = new ArrayList<>();
            for (List<String> shorter : all) {
                for (String level : factor.keySet()) {
                    List<String> more = new ArrayList<>(shorter);
                    more.add(level);
                    longer.add(more);
                }
            }
            all = longer;
        }
        return all;
    }

    /** Returns all runs in the order of the results. */
    public List<Run> runs() {
        List<Run> runs = new ArrayList<>();
        for (List<String> levels : levelCombinations()) {
            for (String policy : policies) {
                for (long seed = firstSeed; seed <= lastSeed; seed++) {
                    runs.add(new Run(levels, policy, seed));
                }
            }
        }
        return runs;
    }

    /** Returns a text of everything that the results follow from; its hash identifies the experiment. */
    public String identity() {
        return String.join(
                "\n",
                List.of(
                        baseDay,
                        fixedLines.toString(),
                        drawnLines.toString(),
                        factors.toString(),
                        policies.toString(),
                        firstSeed + " to " + lastSeed,
                        Long.toString(maxEvents)));
    }
}
