package puffinbarrow.load;

import freemarker.template.Configuration;
import freemarker.template.TemplateException;
import freemarker.template.TemplateExceptionHandler;
import java.io.IOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Writes a run as one HTML file with a table of figures and the charts; runs of a scripted day add what went wrong and
 * the rules. Called by Report, the day's page and the emulator's report.
 */
public final class Html {
    private static final Configuration TEMPLATES = new Configuration(Configuration.VERSION_2_3_33);

    static {
        TEMPLATES.setClassForTemplateLoading(Html.class, "/puffinbarrow/");
        TEMPLATES.setDefaultEncoding("UTF-8");
        TEMPLATES.setLocale(Locale.ROOT);
        TEMPLATES.setTemplateExceptionHandler(TemplateExceptionHandler.RETHROW_HANDLER);
        TEMPLATES.setLogTemplateExceptions(false);
    }

    private Html() {}

    static void write(Path file, Scenario scenario, Result result) throws IOException {
        write(
                file,
                "Load run, seed " + scenario.seed,
                "Sender and target ran on the same machine.",
                scenario,
                result,
                List.of(),
                Report.text(scenario, result));
    }

    /**
     * Writes the page of a run.
     *
     * @param note a line below the title
     * @param rules lines shown with the figures, each starting with "kept" or "BROKEN"; none for a plain run
     * @param text the summary, shown as it is
     */
    public static void write(
            Path file, String title, String note, Scenario scenario, Result result, List<String> rules, String text)
            throws IOException {
        Map<String, Object> model = new LinkedHashMap<>();
        model.put("title", title);
        model.put("note", note);
        model.put("rules", rules);
        model.put("text", text);
        model.put("charts", Charts.all(result));
        model.put("busy", result.hostBusySeconds());
        model.put("whole", result.isComplete());
        model.put("rows", rows(scenario, result));
        model.put(
                "columns",
                List.of(
                        "group",
                        "intended",
                        "in budget",
                        "late",
                        "blocked",
                        "lost",
                        "never sent",
                        "p50 ms",
                        "p99 ms",
                        "p99.9 ms",
                        "max ms"));
        write(file, "page.ftlh", model);
    }

    /** Fills one of the program's templates with a model and writes the result. */
    public static void write(Path file, String template, Map<String, Object> model) throws IOException {
        try (Writer out = Files.newBufferedWriter(file)) {
            TEMPLATES.getTemplate(template).process(model, out);
        } catch (TemplateException failed) {
            throw new IOException(failed);
        }
    }

    private static List<List<String>> rows(Scenario scenario, Result result) {
        List<List<String>> rows = new ArrayList<>();
        rows.add(row("all", result.all));
        for (int i = 0; i < result.groups.length; i++) {
            rows.add(row(scenario.groups.get(i).name(), result.groups[i]));
        }
        return rows;
    }

    private static List<String> row(String name, Result.FlowStats stats) {
        long otherOutcomes = stats.count(Result.Outcome.IN_BUDGET)
                + stats.count(Result.Outcome.LATE)
                + stats.count(Result.Outcome.BLOCKED)
                + stats.count(Result.Outcome.NEVER_SENT);
        List<String> cells = new ArrayList<>(List.of(name, Long.toString(stats.ended())));
        for (long count : new long[] {
            stats.count(Result.Outcome.IN_BUDGET),
            stats.count(Result.Outcome.LATE),
            stats.count(Result.Outcome.BLOCKED),
            stats.ended() - otherOutcomes,
            stats.count(Result.Outcome.NEVER_SENT)
        }) {
            cells.add(Long.toString(count));
        }
        for (double percentile : new double[] {50, 99, 99.9, 100}) {
            cells.add(String.format(Locale.ROOT, "%.2f", stats.latency.getValueAtPercentile(percentile) / 1e3));
        }
        return cells;
    }
}
