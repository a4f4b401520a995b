package puffinbarrow.coordinator;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import puffinbarrow.control.Event;

/**
 * Reads and writes load reports in the TEXT form of ORCA's {@code endpoint-load-metrics} response header:
 * {@code TEXT cpu_utilization=0.3, rps_fractional=12.5, named_metrics.held=3}. Unknown names and invalid values are
 * skipped.
 */
public final class OrcaReport {
    /** The name of the response header. */
    public static final String HEADER = "endpoint-load-metrics";

    private static final Map<String, Event.Measure> MEASURE_BY_NAME = Map.of(
            "cpu_utilization",
            Event.Measure.BUSY,
            "rps_fractional",
            Event.Measure.DELIVERED_PER_S,
            "eps",
            Event.Measure.DROPPED_PER_S,
            "named_metrics.held",
            Event.Measure.HELD,
            "named_metrics.waiting",
            Event.Measure.WAITING,
            "named_metrics.service_ms",
            Event.Measure.SERVICE_MS);

    private OrcaReport() {}

    /** Parses a header value; an empty report if there is none. */
    public static Map<Event.Measure, Double> read(String header) {
        return read(header, MEASURE_BY_NAME);
    }

    /** Parses the TEXT form with the given names for the measures. */
    public static Map<Event.Measure, Double> read(String text, Map<String, Event.Measure> names) {
        return text.startsWith("TEXT ") ? read(text.substring(5), names, '=') : new EnumMap<>(Event.Measure.class);
    }

    /** Parses pairs of name and value, separated by commas, with the given names for the measures. */
    public static Map<Event.Measure, Double> read(String text, Map<String, Event.Measure> names, char separator) {
        Map<Event.Measure, Double> report = new EnumMap<>(Event.Measure.class);
        for (String pair : text.split(",")) {
            int separatorAt = pair.indexOf(separator);
            Event.Measure measure = separatorAt < 0
                    ? null
                    : names.get(pair.substring(0, separatorAt).trim());
            if (measure != null) {
                try {
                    double value =
                            Double.parseDouble(pair.substring(separatorAt + 1).trim());
                    if (Double.isFinite(value) && value >= 0) {
                        report.put(measure, value);
                    }
                } catch (NumberFormatException invalid) {
                    // An invalid value is treated as missing.
                }
            }
        }
        return report;
    }

    /** Formats a report as a header value. */
    public static String write(Map<Event.Measure, Double> report) {
        StringBuilder text = new StringBuilder("TEXT ");
        MEASURE_BY_NAME.forEach((name, measure) -> {
            if (report.containsKey(measure)) {
                text.append(text.length() > 5 ? ", " : "")
                        .append(name)
                        .append('=')
                        .append(String.format(Locale.ROOT, "%.4f", report.get(measure)));
            }
        });
        return text.toString();
    }
}
