package puffinbarrow.load;

import com.fasterxml.jackson.core.JsonEncoding;
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

/**
 * Writes a run's result as text for the terminal and as a folder of files. Called by the load commands after the run.
 */
public final class Report {
    /** Percentiles shown in the text and the JSON summary. */
    static final double[] PERCENTILES = {50, 90, 99, 99.9, 100};

    private Report() {}

    /** Returns the summary that is printed after a run. */
    public static String text(Scenario scenario, Result result) {
        StringBuilder text = new StringBuilder(String.format(
                Locale.ROOT,
                "%nintended %d, outcomes %d%s; utility in budget %.4f; retries %d; connections made %d%n",
                result.intended,
                result.all.ended(),
                result.isComplete() ? "" : "  NOT EQUAL",
                result.utilityAsked == 0 ? 1 : result.utilityInBudget / result.utilityAsked,
                result.retries,
                result.connections));
        appendRow(text, "all", result.all);
        for (int i = 0; i < result.groups.length; i++) {
            appendRow(text, scenario.groups.get(i).name(), result.groups[i]);
        }
        if (result.targets.size() > 1) {
            result.targets.forEach((name, stats) -> appendRow(text, name, stats));
        }
        result.neverSent.forEach((reason, count) -> text.append("never sent, ")
                .append(readableName(reason))
                .append(": ")
                .append(count)
                .append('\n'));
        appendIfPositive(text, result.blockedWithRetryAfter, "blocked responses that said when to retry");
        appendIfPositive(
                text, result.unexpectedData, "responses followed by unexpected data, unasked for or to another flow");
        appendIfPositive(
                text, result.handleLimit, "connections at most by the system's file descriptors, fewer than asked for");
        appendIfPositive(
                text,
                result.connectionsWithoutHandle,
                "connections that failed as the system had no handle or port left");
        text.append(String.format(
                Locale.ROOT, "%nlatency from the intended start, ms: %s%n", percentiles(result.all.latency)));
        text.append(String.format(
                Locale.ROOT,
                "from the sending (what a closed loop would report): %s%n",
                percentiles(result.all.service)));
        text.append(String.format(Locale.ROOT, "to the first byte: %s%n", percentiles(result.all.firstByte)));
        text.append(String.format(
                Locale.ROOT,
                "this host's own: senders late %s; wake-ups late %s; GC %d ms%n",
                percentiles(result.sendLag),
                percentiles(result.wakeUpLateness),
                result.gcPauseMs));
        List<Integer> busy = result.hostBusySeconds();
        if (!busy.isEmpty()) {
            text.append("THIS HOST WAS BUSY in seconds ")
                    .append(busy)
                    .append(": high latencies then are not the target's alone\n");
        }
        if (result.stopReason != null) {
            text.append("CUT SHORT: ").append(result.stopReason).append('\n');
        }
        return text.toString();
    }

    private static void appendIfPositive(StringBuilder text, long count, String what) {
        if (count > 0) {
            text.append(count).append(' ').append(what).append('\n');
        }
    }

    /** Returns a constant's name as words in lower case. */
    static String readableName(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }

    private static void appendRow(StringBuilder text, String name, Result.FlowStats stats) {
        text.append(String.format("%-16s", name));
        for (Result.Outcome outcome : Result.Outcome.values()) {
            if (stats.count(outcome) > 0) {
                text.append(' ')
                        .append(readableName(outcome))
                        .append(' ')
                        .append(stats.count(outcome))
                        .append(';');
            }
        }
        text.append('\n');
    }

    /** Returns the percentiles of a histogram of microseconds, in milliseconds. */
    static String percentiles(Histogram histogram) {
        StringBuilder text = new StringBuilder();
        for (double percentile : PERCENTILES) {
            text.append(String.format(
                    Locale.ROOT,
                    "p%s %.2f  ",
                    percentileName(percentile),
                    histogram.getValueAtPercentile(percentile) / 1e3));
        }
        return text.toString().trim();
    }

    /** Returns a percentile as written in reports, such as 99 or 99.9. */
    static String percentileName(double percentile) {
        return percentile == Math.rint(percentile) ? Long.toString((long) percentile) : Double.toString(percentile);
    }

    /**
     * Writes the folder: scenario as given, text summary, JSON, CSV by second, histograms in HdrHistogram's formats,
     * and the HTML page.
     *
     * @param settings the text of the scenario file
     */
    public static void write(Path folder, String settings, Scenario scenario, Result result) throws IOException {
        Files.createDirectories(folder);
        Files.writeString(folder.resolve("scenario.conf"), settings);
        Files.writeString(folder.resolve("summary.txt"), text(scenario, result));
        Files.writeString(folder.resolve("seconds.csv"), secondsCsv(result));
        try (JsonGenerator out =
                new JsonFactory().createGenerator(folder.resolve("summary.json").toFile(), JsonEncoding.UTF8)) {
            out.useDefaultPrettyPrinter();
            writeSummary(out, scenario, result);
        }
        try (PrintStream out = new PrintStream(
                Files.newOutputStream(folder.resolve("latency.hgrm")), false, StandardCharsets.US_ASCII)) {
            result.all.latency.outputPercentileDistribution(out, 1000.0);
        }
        writeIntervalLog(folder.resolve("latency.hlog"), result);
        Html.write(folder.resolve("page.html"), scenario, result);
    }

    private static String secondsCsv(Result result) {
        StringBuilder csv = new StringBuilder("second,intended,sent");
        for (Result.Outcome outcome : Result.Outcome.values()) {
            csv.append(',').append(outcome.name().toLowerCase(Locale.ROOT));
        }
        csv.append(",p50_us,p90_us,p99_us,max_us,sender_late_us,wakeup_late_us\n");
        for (int i = 0; i < result.intervals.size(); i++) {
            Result.Interval interval = result.intervals.get(i);
            csv.append(i * result.intervalNs / 1_000_000_000L)
                    .append(',')
                    .append(interval.intended)
                    .append(',')
                    .append(interval.sent());
            for (long outcome : interval.outcomes) {
                csv.append(',').append(outcome);
            }
            for (double percentile : new double[] {50, 90, 99, 100}) {
                csv.append(',').append(interval.latency.getValueAtPercentile(percentile));
            }
            csv.append(',')
                    .append(interval.lagMaxUs)
                    .append(',')
                    .append(interval.hiccupMaxUs)
                    .append('\n');
        }
        return csv.toString();
    }

    private static void writeSummary(JsonGenerator out, Scenario scenario, Result result) throws IOException {
        out.writeStartObject();
        out.writeNumberField("seed", scenario.seed);
        out.writeNumberField("intended", result.intended);
        out.writeBooleanField("whole", result.isComplete());
        out.writeNumberField("retries", result.retries);
        out.writeNumberField("connections", result.connections);
        out.writeNumberField("stray_answers", result.unexpectedData);
        out.writeNumberField("no_handle", result.connectionsWithoutHandle);
        out.writeNumberField("blocked_told_when", result.blockedWithRetryAfter);
        out.writeNumberField("utility_asked", result.utilityAsked);
        out.writeNumberField("utility_in_budget", result.utilityInBudget);
        writeStats(out, "all", result.all);
        out.writeObjectFieldStart("groups");
        for (int i = 0; i < result.groups.length; i++) {
            writeStats(out, scenario.groups.get(i).name(), result.groups[i]);
        }
        out.writeEndObject();
        out.writeObjectFieldStart("targets");
        for (var target : result.targets.entrySet()) {
            writeStats(out, target.getKey(), target.getValue());
        }
        out.writeEndObject();
        out.writeObjectFieldStart("never_sent");
        for (var reason : result.neverSent.entrySet()) {
            out.writeNumberField(reason.getKey().name().toLowerCase(Locale.ROOT), reason.getValue());
        }
        out.writeEndObject();
        out.writeObjectFieldStart("host");
        out.writeNumberField("gc_ms", result.gcPauseMs);
        out.writeArrayFieldStart("busy_seconds");
        for (int second : result.hostBusySeconds()) {
            out.writeNumber(second);
        }
        out.writeEndArray();
        writePercentiles(out, "senders_late_us", result.sendLag);
        writePercentiles(out, "wakeups_late_us", result.wakeUpLateness);
        out.writeEndObject();
        if (result.stopReason != null) {
            out.writeStringField("cut_short", result.stopReason);
        }
        out.writeEndObject();
    }

    private static void writeStats(JsonGenerator out, String name, Result.FlowStats stats) throws IOException {
        out.writeObjectFieldStart(name);
        for (Result.Outcome outcome : Result.Outcome.values()) {
            out.writeNumberField(outcome.name().toLowerCase(Locale.ROOT), stats.count(outcome));
        }
        writePercentiles(out, "latency_us", stats.latency);
        writePercentiles(out, "service_us", stats.service);
        writePercentiles(out, "first_byte_us", stats.firstByte);
        out.writeEndObject();
    }

    private static void writePercentiles(JsonGenerator out, String name, Histogram histogram) throws IOException {
        out.writeObjectFieldStart(name);
        for (double percentile : PERCENTILES) {
            out.writeNumberField("p" + percentileName(percentile), histogram.getValueAtPercentile(percentile));
        }
        out.writeEndObject();
    }

    /** Writes HdrHistogram's interval log, one line per interval, for its plotting tools. */
    private static void writeIntervalLog(Path file, Result result) throws IOException {
        try (PrintStream out = new PrintStream(Files.newOutputStream(file), false, StandardCharsets.US_ASCII)) {
            HistogramLogWriter log = new HistogramLogWriter(out);
            log.outputLogFormatVersion();
            log.outputComment("latency from the intended start, microseconds");
            log.outputLegend();
            for (int i = 0; i < result.intervals.size(); i++) {
                Histogram histogram = result.intervals.get(i).latency;
                histogram.setStartTimeStamp(i * result.intervalNs / 1_000_000);
                histogram.setEndTimeStamp((i + 1) * result.intervalNs / 1_000_000);
                log.outputIntervalHistogram(histogram);
            }
        }
    }
}
