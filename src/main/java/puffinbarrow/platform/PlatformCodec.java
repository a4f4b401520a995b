package puffinbarrow.platform;

import java.math.BigDecimal;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import puffinbarrow.control.Event;
import puffinbarrow.control.Event.Measure;
import puffinbarrow.control.Order;
import puffinbarrow.coordinator.OrcaReport;
import puffinbarrow.wire.JsonReader;
import puffinbarrow.wire.SettingsReader;

/**
 * Translates between the platform's messages and the controller's events and orders. Zones, machine types and traffic
 * groups are names on the platform and indexes into the settings' lists here; proxies and slices are numbers on both
 * sides and are checked against the settings. Immutable and thread-safe; does no I/O.
 */
final class PlatformCodec {
    /**
     * One reading of the wall clock with the monotonic clock at the same moment. It is taken once per service, so that
     * a server's start time always converts to the same value.
     */
    record ClockOffset(long wallMs, long ns) {
        static ClockOffset now() {
            return new ClockOffset(System.currentTimeMillis(), System.nanoTime());
        }

        /** Converts Unix milliseconds to {@link System#nanoTime} nanoseconds; 0, which means long ago, stays 0. */
        long toMonotonicNs(long unixMs) {
            return unixMs == 0 ? 0 : ns + (unixMs - wallMs) * 1_000_000;
        }
    }

    /**
     * A server list from discovery.
     *
     * @param version discovery's generation of the list
     * @param addresses where each backend listens, by server id
     */
    record Listing(long version, Event.ServerList list, Map<String, InetSocketAddress> addresses) {}

    private static final Map<String, Event.Listed> LIFECYCLES =
            Map.of("SERVING", Event.Listed.READY, "DRAINING", Event.Listed.DRAINING, "DELETED", Event.Listed.GONE);

    /** Upper limit on a duration in a message; no valid report covers ten minutes. */
    private static final double MAX_MS = 600_000;
    /** Upper limit on a count in a message: more attempts than a fleet of this size makes within {@link #MAX_MS}. */
    private static final long MAX_COUNT = 100_000_000;
    /** Longest text value of a field, in characters. */
    private static final int MAX_TEXT_LENGTH = 256;
    /** Highest number of a mark. */
    private static final int MAX_MARK = 65_535;
    /** Length in characters to which a message is cut in log lines. */
    private static final int ABBREVIATED_LENGTH = 160;

    private final SettingsReader.Names names;
    private final ClockOffset clock;

    PlatformCodec(SettingsReader.Names names, ClockOffset clock) {
        this.names = names;
        this.clock = clock;
    }

    // ---- Messages: a type, then alternating field names and values

    /** Returns the fields of a message by name; throws if a name is repeated or has no value. */
    static Map<String, String> fields(List<String> message) {
        if (message.size() % 2 == 0) {
            throw new ProtocolException("a name without a value");
        }
        Map<String, String> fields = new HashMap<>();
        for (int i = 1; i < message.size(); i += 2) {
            if (fields.put(message.get(i), message.get(i + 1)) != null) {
                throw new ProtocolException("two fields named " + message.get(i));
            }
        }
        return fields;
    }

    /** Returns the number of the zone that a message names. */
    int zone(Map<String, String> fields) {
        return indexOf(names.zones(), fields, "site");
    }

    /** Decodes a collector's report. */
    Event decodeReport(List<String> message) {
        Map<String, String> fields = fields(message);
        return switch (message.get(0)) {
            case "upstream_stats" -> serverSums(fields);
            case "range_stats" -> sliceDemand(fields);
            default -> throw new ProtocolException("unknown report type " + message.get(0));
        };
    }

    private Event serverSums(Map<String, String> fields) {
        long count = integer(fields, "count", 1, MAX_COUNT);
        long fail = integer(fields, "fail", 0, count);
        double mean = fail < count || fields.containsKey("mean") ? decimal(fields, "mean", 0, MAX_MS) : 0;
        return new Event.ServerSums(
                text(fields, "target"),
                zone(fields),
                nanos(decimal(fields, "over", 1, MAX_MS)),
                nanos(mean),
                fail,
                count,
                loadReport(fields.getOrDefault("util", "")));
    }

    private Event sliceDemand(Map<String, String> fields) {
        // "fail" may exceed "count": a flow may arrive in one reporting period and fail in a later one.
        return new Event.SliceDemand(
                slice(fields),
                indexOf(names.groups(), fields, "lane"),
                integer(fields, "count", 0, MAX_COUNT),
                integer(fields, "fail", 0, MAX_COUNT),
                nanos(decimal(fields, "over", 1, MAX_MS)));
    }

    private static Map<Measure, Double> loadReport(String pairs) {
        Map<Measure, Double> report = OrcaReport.read(pairs, JsonReader.MEASURES, ':');
        if (report.size() != (pairs.isEmpty() ? 0 : pairs.split(",", -1).length)) {
            throw new ProtocolException("util: expected known names with values from 0, found " + pairs);
        }
        return report;
    }

    /** Decodes a backend's answer to a probe, such as {@code TEXT busy_reqs=7, cpu_share=0.61}. */
    static Map<Measure, Double> decodeProbe(String body) {
        return OrcaReport.read(body, JsonReader.MEASURES);
    }

    /** Decodes a relay event {@code attach}. */
    Event.ProxyJoined proxyJoined(Map<String, String> fields) {
        return new Event.ProxyJoined(
                proxy(fields), flag(fields, "new"), decimal(fields, "rps", 0, MAX_COUNT), zone(fields));
    }

    /** Returns the number of the proxy that a message names. */
    int proxy(Map<String, String> fields) {
        return (int) integer(fields, "id", 0, Math.max(0, names.proxies() - 1));
    }

    /** Returns the number of the slice that a message names. */
    int slice(Map<String, String> fields) {
        return (int) integer(fields, "range", 0, Math.max(0, names.slices() - 1));
    }

    /** Decodes a relay event {@code done}: a proxy acknowledges a mark. */
    Event.InForce inForce(Map<String, String> fields) {
        return new Event.InForce(
                proxy(fields), (int) integer(fields, "seq", 0, MAX_MARK), nanos(decimal(fields, "ms", 0, MAX_MS)));
    }

    /** Decodes a relay event {@code entry}: a line of a slice; weight 0 if it was removed. */
    Event.StoredLine storedLine(Map<String, String> fields) {
        return new Event.StoredLine(slice(fields), text(fields, "target"), decimal(fields, "rps", 0, MAX_COUNT));
    }

    /** Returns whether the field is 1 rather than 0. */
    boolean flag(Map<String, String> fields, String name) {
        return integer(fields, name, 0, 1) == 1;
    }

    private static int indexOf(List<String> known, Map<String, String> fields, String name) {
        int index = known.indexOf(text(fields, name));
        if (index < 0) {
            throw new ProtocolException(name + ": wanted one of " + known + ", found " + fields.get(name));
        }
        return index;
    }

    private static String text(Map<String, String> fields, String name) {
        String value = fields.get(name);
        if (value == null || value.isEmpty() || value.length() > MAX_TEXT_LENGTH) {
            throw new ProtocolException(
                    name + ": " + (value == null || value.isEmpty() ? "absent" : "over 256 characters"));
        }
        return value;
    }

    private static long integer(Map<String, String> fields, String name, long min, long max) {
        String value = text(fields, name);
        try {
            long number = Long.parseLong(value);
            if (number >= min && number <= max) {
                return number;
            }
        } catch (NumberFormatException notANumber) {
            // Reported below, as a number out of range is.
        }
        throw new ProtocolException(name + ": expected an integer from " + min + " to " + max + ", found " + value);
    }

    private static double decimal(Map<String, String> fields, String name, double min, double max) {
        String value = text(fields, name);
        try {
            double number = Double.parseDouble(value);
            if (number >= min && number <= max) {
                return number;
            }
        } catch (NumberFormatException notANumber) {
            // Reported below, as a number out of range is.
        }
        throw new ProtocolException(name + ": expected a number from " + min + " to " + max + ", found " + value);
    }

    private static long nanos(double ms) {
        return Math.round(ms * 1e6);
    }

    // ---- Discovery's server lists

    /** Decodes a parsed JSON server list, complete or with changes only. */
    Listing decodeListing(Object json) {
        Map<?, ?> all = Configuration.object(json, "server list");
        if (!(all.get("generation") instanceof Number version)
                || !(all.get("reset") instanceof Boolean complete)
                || !(all.get("instances") instanceof List<?> instances)) {
            throw new ProtocolException("server list: expected generation, reset and instances");
        }
        List<Event.Entry> entries = new ArrayList<>();
        Map<String, InetSocketAddress> addresses = new HashMap<>();
        for (Object element : instances) {
            Map<?, ?> instance = Configuration.object(element, "instances");
            Event.Listed listed = LIFECYCLES.get(String.valueOf(instance.get("lifecycle")));
            if (!(instance.get("instanceId") instanceof String server) || listed == null) {
                throw new ProtocolException("instances: expected an id and a known lifecycle, found " + instance);
            }
            entries.add(new Event.Entry(
                    server,
                    names.zones().indexOf(String.valueOf(instance.get("zone"))),
                    names.machineTypes().indexOf(String.valueOf(instance.get("machineType"))),
                    (int) numberOrZero(instance, "cell"),
                    listed,
                    numberOrZero(instance, "weight"),
                    clock.toMonotonicNs((long) numberOrZero(instance, "startedAtMs"))));
            if (instance.get("hostPort") instanceof String) {
                addresses.put(server, Configuration.address(instance.get("hostPort"), "hostPort"));
            }
        }
        return new Listing(
                version.longValue(),
                new Event.ServerList(complete ? Event.ListKind.WHOLE : Event.ListKind.PATCH, entries),
                addresses);
    }

    private static double numberOrZero(Map<?, ?> object, String name) {
        return object.get(name) instanceof Number n ? n.doubleValue() : 0;
    }

    // ---- Orders

    /** Encodes an order for the relay; returns null if the relay has no such order. */
    String encodeOrder(Order order) {
        if (order instanceof Order.SetLine o) {
            return "share," + o.table() + "," + o.server() + "," + plainDecimal(o.weight());
        } else if (order instanceof Order.ClearTable o) {
            return "clear," + o.table();
        } else if (order instanceof Order.Mask o) {
            return (o.masked() ? "withdraw," : "restore,") + o.server();
        } else if (order instanceof Order.SetLevel o) {
            return "admit," + (o.table() == Order.ALL_TABLES ? "*" : o.table()) + "," + groupNames(o.groups()) + ","
                    + plainDecimal(o.level()) + "," + o.retry().ordinal();
        } else if (order instanceof Order.Mark o) {
            return "mark," + o.number() + "," + (o.everyProxy() ? 1 : 0);
        }
        return null;
    }

    /** Returns the names of the traffic groups in the bit set; 0 means all. */
    private String groupNames(int bits) {
        if (bits == 0) {
            return "*";
        }
        List<String> selected = new ArrayList<>();
        for (int i = 0; i < names.groups().size(); i++) {
            if ((bits >> i & 1) == 1) {
                selected.add(names.groups().get(i));
            }
        }
        return String.join("+", selected);
    }

    /** Formats a number without an exponent. */
    private static String plainDecimal(double value) {
        return new BigDecimal(Double.toString(value)).toPlainString();
    }

    /**
     * Returns how many orders of a call the relay accepted.
     *
     * @param sent number of orders in the call
     * @throws ProtocolException if the answer cannot be read
     */
    static int acceptedCount(String xml, int sent) {
        int from = xml.indexOf("<ok_count>");
        int to = xml.indexOf("</ok_count></item></items></Response>", from);
        if (!xml.startsWith("<?xml ") || from < 0 || to < 0 || !xml.contains("<Response><items><item><ok_count>")) {
            throw new ProtocolException("no count of accepted orders in " + abbreviate(xml));
        }
        return (int) integer(Map.of("ok_count", xml.substring(from + 10, to)), "ok_count", 0, sent);
    }

    /** Cuts a text for a log line. */
    static String abbreviate(String text) {
        return text.length() > ABBREVIATED_LENGTH ? text.substring(0, ABBREVIATED_LENGTH) + "..." : text;
    }
}
