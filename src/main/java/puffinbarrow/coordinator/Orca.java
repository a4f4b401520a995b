package puffinbarrow.coordinator;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import puffinbarrow.control.Event;

/**
 * Load reports in ORCA's {@code endpoint-load-metrics} answer header, in its TEXT form:
 * {@code TEXT cpu_utilization=0.3, rps_fractional=12.5, named_metrics.held=3}. What is unknown is passed over.
 */
public final class Orca {
    public static final String HEADER = "endpoint-load-metrics";

    private static final Map<String, Event.Measure> NAMES = Map.of(
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

    private Orca() {}

    public static Map<Event.Measure, Double> read(String header) {
        return read(header, NAMES);
    }

    /** The TEXT form with other names for the same measures. */
    public static Map<Event.Measure, Double> read(String text, Map<String, Event.Measure> names) {
        return text.startsWith("TEXT ") ? read(text.substring(5), names, '=') : new EnumMap<>(Event.Measure.class);
    }

    /** Pairs of a name and a figure, with other names for the same measures. */
    public static Map<Event.Measure, Double> read(String text, Map<String, Event.Measure> names, char between) {
        Map<Event.Measure, Double> report = new EnumMap<>(Event.Measure.class);
        for (String pair : text.split(",")) {
            int equals = pair.indexOf(between);
            Event.Measure measure =
                    equals < 0 ? null : names.get(pair.substring(0, equals).trim());
            if (measure != null) {
                try {
                    double value = Double.parseDouble(pair.substring(equals + 1).trim());
                    if (Double.isFinite(value) && value >= 0) {
                        report.put(measure, value);
                    }
                } catch (NumberFormatException odd) {
                    // A figure that is none says nothing about load.
                }
            }
        }
        return report;
    }

    public static String write(Map<Event.Measure, Double> report) {
        StringBuilder text = new StringBuilder("TEXT ");
        NAMES.forEach((name, measure) -> {
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
