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
import puffinbarrow.coordinator.Orca;
import puffinbarrow.wire.Facts;
import puffinbarrow.wire.Json;

/** Between the platform's words and ours, both ways. Pure: holds only the names that numbers stand for. */
final class Translation {
    /** Where the platform's wall clock lies against the decisions' own: one figure, so that a start stays one time. */
    record Clock(long wallMs, long ns) {
        static Clock now() {
            return new Clock(System.currentTimeMillis(), System.nanoTime());
        }

        /** 0 stays 0: long ago. */
        long at(long unixMs) {
            return unixMs == 0 ? 0 : ns + (unixMs - wallMs) * 1_000_000;
        }
    }

    /** Discovery's answer, with where each backend listens as seen from here. */
    record Listing(long version, Event.ServerList list, Map<String, InetSocketAddress> addresses) {}

    private static final Map<String, Event.Listed> STATES =
            Map.of("SERVING", Event.Listed.READY, "DRAINING", Event.Listed.DRAINING, "DELETED", Event.Listed.GONE);

    /** Bounds that no sound figure reaches: ten minutes, and more tries than a fleet of this form sees in them. */
    private static final double MOST_MS = 600_000;

    private static final long MOST_COUNT = 100_000_000;

    private final Facts.Names names;
    private final Clock clock;

    Translation(Facts.Names names, Clock clock) {
        this.names = names;
        this.clock = clock;
    }

    // ---- Messages of names and values.

    /** Names to values; what repeats a name or has no value is refused. */
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

    int zone(Map<String, String> fields) {
        return place(names.zones(), fields, "site");
    }

    /** A collector's report. */
    Event report(List<String> message) {
        Map<String, String> fields = fields(message);
        return switch (message.get(0)) {
            case "upstream_stats" -> serverSums(fields);
            case "range_stats" -> sliceDemand(fields);
            default -> throw new ProtocolException("no report is named " + message.get(0));
        };
    }

    private Event serverSums(Map<String, String> fields) {
        long count = whole(fields, "count", 1, MOST_COUNT);
        long fail = whole(fields, "fail", 0, count);
        double mean = fail < count || fields.containsKey("mean") ? real(fields, "mean", 0, MOST_MS) : 0;
        return new Event.ServerSums(
                text(fields, "target"),
                zone(fields),
                ns(real(fields, "over", 1, MOST_MS)),
                ns(mean),
                fail,
                count,
                load(fields.getOrDefault("util", "")));
    }

    private Event sliceDemand(Map<String, String> fields) {
        // Flows that fail may have come in a span before, so they can be more than came in this one.
        return new Event.SliceDemand(
                slice(fields),
                place(names.groups(), fields, "lane"),
                whole(fields, "count", 0, MOST_COUNT),
                whole(fields, "fail", 0, MOST_COUNT),
                ns(real(fields, "over", 1, MOST_MS)));
    }

    private static Map<Measure, Double> load(String pairs) {
        Map<Measure, Double> report = Orca.read(pairs, Json.MEASURES, ':');
        if (report.size() != (pairs.isEmpty() ? 0 : pairs.split(",", -1).length)) {
            throw new ProtocolException("util: wanted known names with figures from 0, found " + pairs);
        }
        return report;
    }

    /** A backend's answer to a probe: {@code TEXT busy_reqs=7, cpu_share=0.61}. */
    static Map<Measure, Double> probed(String body) {
        return Orca.read(body, Json.MEASURES);
    }

    /** A joined proxy. */
    Event.ProxyJoined joined(Map<String, String> fields) {
        return new Event.ProxyJoined(
                proxy(fields), flag(fields, "new"), real(fields, "rps", 0, MOST_COUNT), zone(fields));
    }

    int proxy(Map<String, String> fields) {
        return (int) whole(fields, "id", 0, Math.max(0, names.proxies() - 1));
    }

    int slice(Map<String, String> fields) {
        return (int) whole(fields, "range", 0, Math.max(0, names.slices() - 1));
    }

    Event.InForce inForce(Map<String, String> fields) {
        return new Event.InForce(
                proxy(fields), (int) whole(fields, "seq", 0, 65_535), ns(real(fields, "ms", 0, MOST_MS)));
    }

    Event.StoredLine line(Map<String, String> fields) {
        return new Event.StoredLine(slice(fields), text(fields, "target"), real(fields, "rps", 0, MOST_COUNT));
    }

    boolean flag(Map<String, String> fields, String name) {
        return whole(fields, name, 0, 1) == 1;
    }

    private static int place(List<String> known, Map<String, String> fields, String name) {
        int at = known.indexOf(text(fields, name));
        if (at < 0) {
            throw new ProtocolException(name + ": wanted one of " + known + ", found " + fields.get(name));
        }
        return at;
    }

    private static String text(Map<String, String> fields, String name) {
        String value = fields.get(name);
        if (value == null || value.isEmpty() || value.length() > 256) {
            throw new ProtocolException(
                    name + ": " + (value == null || value.isEmpty() ? "absent" : "over 256 characters"));
        }
        return value;
    }

    private static long whole(Map<String, String> fields, String name, long least, long most) {
        String value = text(fields, name);
        try {
            long number = Long.parseLong(value);
            if (number >= least && number <= most) {
                return number;
            }
        } catch (NumberFormatException none) {
            // Said below.
        }
        throw new ProtocolException(
                name + ": wanted a whole number from " + least + " to " + most + ", found " + value);
    }

    private static double real(Map<String, String> fields, String name, double least, double most) {
        String value = text(fields, name);
        try {
            double number = Double.parseDouble(value);
            if (number >= least && number <= most) {
                return number;
            }
        } catch (NumberFormatException none) {
            // Said below.
        }
        throw new ProtocolException(name + ": wanted a number from " + least + " to " + most + ", found " + value);
    }

    private static long ns(double ms) {
        return Math.round(ms * 1e6);
    }

    // ---- Discovery's lists.

    Listing listing(Object json) {
        Map<?, ?> all = Configuration.object(json, "the list");
        if (!(all.get("generation") instanceof Number version)
                || !(all.get("reset") instanceof Boolean whole)
                || !(all.get("instances") instanceof List<?> instances)) {
            throw new ProtocolException("the list: wanted generation, reset and instances");
        }
        List<Event.Entry> entries = new ArrayList<>();
        Map<String, InetSocketAddress> addresses = new HashMap<>();
        for (Object each : instances) {
            Map<?, ?> of = Configuration.object(each, "instances");
            Event.Listed listed = STATES.get(String.valueOf(of.get("lifecycle")));
            if (!(of.get("instanceId") instanceof String server) || listed == null) {
                throw new ProtocolException("instances: wanted an id and a known lifecycle, found " + of);
            }
            entries.add(new Event.Entry(
                    server,
                    names.zones().indexOf(String.valueOf(of.get("zone"))),
                    names.kinds().indexOf(String.valueOf(of.get("machineType"))),
                    (int) number(of, "cell"),
                    listed,
                    number(of, "weight"),
                    clock.at((long) number(of, "startedAtMs"))));
            if (of.get("hostPort") instanceof String) {
                addresses.put(server, Configuration.address(of.get("hostPort"), "hostPort"));
            }
        }
        return new Listing(
                version.longValue(),
                new Event.ServerList(whole ? Event.ListKind.WHOLE : Event.ListKind.PATCH, entries),
                addresses);
    }

    private static double number(Map<?, ?> of, String name) {
        return of.get(name) instanceof Number n ? n.doubleValue() : 0;
    }

    // ---- Orders.

    /** The order as the relay takes it; null if it is not for the relay. */
    String order(Order order) {
        if (order instanceof Order.SetLine o) {
            return "share," + o.table() + "," + o.server() + "," + plain(o.weight());
        } else if (order instanceof Order.ClearTable o) {
            return "clear," + o.table();
        } else if (order instanceof Order.Mask o) {
            return (o.out() ? "withdraw," : "restore,") + o.server();
        } else if (order instanceof Order.SetLevel o) {
            return "admit," + (o.table() == Order.ALL_TABLES ? "*" : o.table()) + "," + groups(o.groups()) + ","
                    + plain(o.level()) + "," + o.retry().ordinal();
        } else if (order instanceof Order.Mark o) {
            return "mark," + o.number() + "," + (o.everyProxy() ? 1 : 0);
        }
        return null;
    }

    private String groups(int bits) {
        if (bits == 0) {
            return "*";
        }
        List<String> named = new ArrayList<>();
        for (int i = 0; i < names.groups().size(); i++) {
            if ((bits >> i & 1) == 1) {
                named.add(names.groups().get(i));
            }
        }
        return String.join("+", named);
    }

    private static String plain(double value) {
        return new BigDecimal(Double.toString(value)).toPlainString();
    }

    /** How many orders the relay says it took, of so many; refused if the answer can't be read. */
    static int taken(String xml, int of) {
        int from = xml.indexOf("<ok_count>");
        int to = xml.indexOf("</ok_count></item></items></Response>", from);
        if (!xml.startsWith("<?xml ") || from < 0 || to < 0 || !xml.contains("<Response><items><item><ok_count>")) {
            throw new ProtocolException("no count of orders taken in " + brief(xml));
        }
        return (int) whole(Map.of("ok_count", xml.substring(from + 10, to)), "ok_count", 0, of);
    }

    static String brief(String text) {
        return text.length() > 160 ? text.substring(0, 160) + "..." : text;
    }
}
