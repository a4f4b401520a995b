package puffinbarrow.wire;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import puffinbarrow.control.Settings;

/** Turns the wire's settings into ours; keys that are not known here are passed over. */
public final class Facts {
    /** What hosts that speak in names need of the settings: each list in the order that numbers count in. */
    public record Names(List<String> zones, List<String> kinds, List<String> groups, int proxies, int slices) {}

    private Facts() {}

    public static Names names(Object facts) {
        Map<?, ?> all = map(facts, "Facts");
        Map<?, ?> domain = map(all.get("Domain"), "Domain");
        List<String> groups = new ArrayList<>();
        for (Object each : list(all.get("RequestClasses"), "RequestClasses")) {
            groups.add(String.valueOf(map(each, "RequestClasses").get("Name")));
        }
        return new Names(texts(all, "Zones"), texts(all, "Models"), groups, (int) whole(domain, "ProxyCount"), (int)
                whole(domain, "Ranges"));
    }

    private static List<String> texts(Map<?, ?> from, String key) {
        return list(from.get(key), key).stream().map(String::valueOf).toList();
    }

    public static Settings settings(Object facts) {
        Map<?, ?> all = map(facts, "Facts");
        Map<?, ?> domain = map(all.get("Domain"), "Domain");
        Map<?, ?> rules = map(all.get("Rules"), "Rules");
        List<Settings.Group> groups = new ArrayList<>();
        for (Object each : list(all.get("RequestClasses"), "RequestClasses")) {
            groups.add(group(map(each, "RequestClasses")));
        }
        String throttle = String.valueOf(domain.get("ThrottleBy"));
        return new Settings(
                "ask".equals(all.get("Discovery")),
                throttle.equals("per_second"),
                !throttle.equals("off"),
                groups,
                (int) whole(domain, "Ranges"),
                flag(domain, "SoleOwner"),
                real(domain, "Backlog"),
                real(domain, "EgressPerS"),
                real(domain, "Overhead"),
                (int) whole(domain, "PushesAllowed"),
                whole(domain, "CountedOverNs"),
                whole(domain, "ReportEveryNs"),
                whole(rules, "StopSendingWithinNs"),
                whole(rules, "WarmWithinNs"),
                real(rules, "StartCapacity"),
                real(rules, "FallMultiple"),
                flag(map(all.get("Ceilings"), "Ceilings"), "Probes"),
                flag(rules, "DroppedStayOpen"),
                whole(domain, "Ranges") > 0 ? (int) whole(domain, "ProxyCount") : 0);
    }

    private static Settings.Group group(Map<?, ?> each) {
        return new Settings.Group(real(each, "Importance"), whole(each, "AimNs"));
    }

    private static double real(Map<?, ?> from, String key) {
        Object value = from.get(key);
        if (value == null) {
            return 0;
        }
        if (value instanceof Number number) {
            return number.doubleValue();
        }
        throw new MalformedBatch(key + ": wanted a number, found " + value);
    }

    private static long whole(Map<?, ?> from, String key) {
        Object value = from.get(key);
        return value instanceof Number number ? number.longValue() : (long) real(from, key);
    }

    private static boolean flag(Map<?, ?> from, String key) {
        Object value = from.get(key);
        if (value == null || value instanceof Boolean) {
            return Boolean.TRUE.equals(value);
        }
        throw new MalformedBatch(key + ": wanted true or false, found " + value);
    }

    private static Map<?, ?> map(Object value, String what) {
        if (value == null) {
            return Map.of();
        }
        if (value instanceof Map<?, ?> map) {
            return map;
        }
        throw new MalformedBatch(what + ": wanted an object");
    }

    private static List<?> list(Object value, String what) {
        if (value == null) {
            return List.of();
        }
        if (value instanceof List<?> list) {
            return list;
        }
        throw new MalformedBatch(what + ": wanted an array");
    }
}
