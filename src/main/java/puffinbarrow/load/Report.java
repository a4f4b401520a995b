package puffinbarrow.load;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.HistogramLogWriter;

/** A run as text and as a folder. */
public final class Report {
    static final double[] QUANTILES = {50, 90, 99, 99.9, 100};

    private Report() {}

    public static String text(Scenario scenario, Result result) {
        StringBuilder text = new StringBuilder(String.format(
                Locale.ROOT,
                "%nintended %d, outcomes %d%s; utility in budget " + "%.4f; retries %d; connections made %d%n",
                result.intended,
                result.all.ended(),
                result.whole() ? "" : "  NOT EQUAL",
                result.utilityAsked == 0 ? 1 : result.utilityGot / result.utilityAsked,
                result.retries,
                result.connections));
        row(text, "all", result.all);
        for (int i = 0; i < result.groups.length; i++) {
            row(text, scenario.groups.get(i).name(), result.groups[i]);
        }
        if (result.targets.size() > 1) {
            result.targets.forEach((name, part) -> row(text, name, part));
        }
        result.unsent.forEach((why, count) -> text.append("never sent, ")
                .append(word(why))
                .append(": ")
                .append(count)
                .append('\n'));
        say(text, result.toldWhen, "blocked answers that said when to come back");
        say(text, result.stray, "answers with more behind them than promised, doubled or another flow's");
        say(text, result.handleLimit, "connections at most by the system's handles, fewer than asked for");
        say(text, result.noHandle, "connections that the system had no handle or port for");
        text.append(String.format(
                Locale.ROOT, "%nlatency from the intended start, ms: %s%n", quantiles(result.all.latency)));
        text.append(String.format(
                Locale.ROOT,
                "from the sending (what a closed loop would report): %s%n",
                quantiles(result.all.service)));
        text.append(String.format(Locale.ROOT, "to the first byte: %s%n", quantiles(result.all.firstByte)));
        text.append(String.format(
                Locale.ROOT,
                "this host's own: senders late %s; wake-ups late %s; GC %d ms%n",
                quantiles(result.lag),
                quantiles(result.hiccups),
                result.gcPauseMs));
        List<Integer> busy = result.hostBusy();
        if (!busy.isEmpty()) {
            text.append("THIS HOST WAS BUSY in seconds ")
                    .append(busy)
                    .append(": their tails are not the target's alone\n");
        }
        if (result.cutShort != null) {
            text.append("CUT SHORT: ").append(result.cutShort).append('\n');
        }
        return text.toString();
    }

    private static void say(StringBuilder text, long count, String what) {
        if (count > 0) {
            text.append(count).append(' ').append(what).append('\n');
        }
    }

    static String word(Enum<?> of) {
        return of.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }

    private static void row(StringBuilder text, String name, Result.Part part) {
        text.append(String.format("%-16s", name));
        for (Result.Outcome outcome : Result.Outcome.values()) {
            if (part.count(outcome) > 0) {
                text.append(' ')
                        .append(word(outcome))
                        .append(' ')
                        .append(part.count(outcome))
                        .append(';');
            }
        }
        text.append('\n');
    }

    static String quantiles(Histogram of) {
        StringBuilder text = new StringBuilder();
        for (double q : QUANTILES) {
            text.append(String.format(Locale.ROOT, "p%s %.2f  ", quantile(q), of.getValueAtPercentile(q) / 1e3));
        }
        return text.toString().trim();
    }

    static String quantile(double q) {
        return q == Math.rint(q) ? Long.toString((long) q) : Double.toString(q);
    }

    /** The folder: settings as they were, text, JSON, CSV by second, histograms in their own log form, and the page. */
    public static void write(Path folder, String settings, Scenario scenario, Result result) throws IOException {
        Files.createDirectories(folder);
        Files.writeString(folder.resolve("scenario.conf"), settings);
        Files.writeString(folder.resolve("summary.txt"), text(scenario, result));
        Files.writeString(folder.resolve("seconds.csv"), csv(result));
        try (JsonGenerator out = new JsonFactory()
                .createGenerator(
                        folder.resolve("summary.json").toFile(), com.fasterxml.jackson.core.JsonEncoding.UTF8)) {
            out.useDefaultPrettyPrinter();
            json(out, scenario, result);
        }
        try (PrintStream out = new PrintStream(
                Files.newOutputStream(folder.resolve("latency.hgrm")), false, StandardCharsets.US_ASCII)) {
            result.all.latency.outputPercentileDistribution(out, 1000.0);
        }
        histograms(folder.resolve("latency.hlog"), result);
        Html.write(folder.resolve("page.html"), scenario, result);
    }

    private static String csv(Result result) {
        StringBuilder csv = new StringBuilder("second,intended,sent");
        for (Result.Outcome outcome : Result.Outcome.values()) {
            csv.append(',').append(outcome.name().toLowerCase(Locale.ROOT));
        }
        csv.append(",p50_us,p90_us,p99_us,max_us,sender_late_us,wakeup_late_us\n");
        for (int i = 0; i < result.steps.size(); i++) {
            Result.Step s = result.steps.get(i);
            csv.append(i * result.stepNs / 1_000_000_000L)
                    .append(',')
                    .append(s.intended)
                    .append(',')
                    .append(s.sent());
            for (long outcome : s.outcomes) {
                csv.append(',').append(outcome);
            }
            for (double q : new double[] {50, 90, 99, 100}) {
                csv.append(',').append(s.latency.getValueAtPercentile(q));
            }
            csv.append(',').append(s.lagMaxUs).append(',').append(s.hiccupMaxUs).append('\n');
        }
        return csv.toString();
    }

    private static void json(JsonGenerator out, Scenario scenario, Result result) throws IOException {
        out.writeStartObject();
        out.writeNumberField("seed", scenario.seed);
        out.writeNumberField("intended", result.intended);
        out.writeBooleanField("whole", result.whole());
        out.writeNumberField("retries", result.retries);
        out.writeNumberField("connections", result.connections);
        out.writeNumberField("stray_answers", result.stray);
        out.writeNumberField("no_handle", result.noHandle);
        out.writeNumberField("blocked_told_when", result.toldWhen);
        out.writeNumberField("utility_asked", result.utilityAsked);
        out.writeNumberField("utility_in_budget", result.utilityGot);
        part(out, "all", result.all);
        out.writeObjectFieldStart("groups");
        for (int i = 0; i < result.groups.length; i++) {
            part(out, scenario.groups.get(i).name(), result.groups[i]);
        }
        out.writeEndObject();
        out.writeObjectFieldStart("targets");
        for (var target : result.targets.entrySet()) {
            part(out, target.getKey(), target.getValue());
        }
        out.writeEndObject();
        out.writeObjectFieldStart("never_sent");
        for (var why : result.unsent.entrySet()) {
            out.writeNumberField(why.getKey().name().toLowerCase(Locale.ROOT), why.getValue());
        }
        out.writeEndObject();
        out.writeObjectFieldStart("host");
        out.writeNumberField("gc_ms", result.gcPauseMs);
        out.writeArrayFieldStart("busy_seconds");
        for (int second : result.hostBusy()) {
            out.writeNumber(second);
        }
        out.writeEndArray();
        quantiles(out, "senders_late_us", result.lag);
        quantiles(out, "wakeups_late_us", result.hiccups);
        out.writeEndObject();
        if (result.cutShort != null) {
            out.writeStringField("cut_short", result.cutShort);
        }
        out.writeEndObject();
    }

    private static void part(JsonGenerator out, String name, Result.Part part) throws IOException {
        out.writeObjectFieldStart(name);
        for (Result.Outcome outcome : Result.Outcome.values()) {
            out.writeNumberField(outcome.name().toLowerCase(Locale.ROOT), part.count(outcome));
        }
        quantiles(out, "latency_us", part.latency);
        quantiles(out, "service_us", part.service);
        quantiles(out, "first_byte_us", part.firstByte);
        out.writeEndObject();
    }

    private static void quantiles(JsonGenerator out, String name, Histogram of) throws IOException {
        out.writeObjectFieldStart(name);
        for (double q : QUANTILES) {
            out.writeNumberField("p" + quantile(q), of.getValueAtPercentile(q));
        }
        out.writeEndObject();
    }

    /** HdrHistogram's own interval log, a line a step, for its plotters. */
    private static void histograms(Path file, Result result) throws IOException {
        try (PrintStream out = new PrintStream(Files.newOutputStream(file), false, StandardCharsets.US_ASCII)) {
            HistogramLogWriter log = new HistogramLogWriter(out);
            log.outputLogFormatVersion();
            log.outputComment("latency from the intended start, microseconds");
            log.outputLegend();
            for (int i = 0; i < result.steps.size(); i++) {
                Histogram step = result.steps.get(i).latency;
                step.setStartTimeStamp(i * result.stepNs / 1_000_000);
                step.setEndTimeStamp((i + 1) * result.stepNs / 1_000_000);
                log.outputIntervalHistogram(step);
            }
        }
    }
}
