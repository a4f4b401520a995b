package puffinbarrow.wire;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import puffinbarrow.control.Settings;

/** Converts the settings of the wire and of the service's configuration to {@link Settings}; ignores unknown keys. */
public final class SettingsReader {
    /**
     * What a host that uses names in place of numbers needs from the settings.
     *
     * @param zones names by zone number
     * @param machineTypes machine types by number
     * @param groups traffic groups by number
     * @param proxies number of proxies
     * @param slices number of slices
     */
    public record Names(List<String> zones, List<String> machineTypes, List<String> groups, int proxies, int slices) {}

    private SettingsReader() {}

    /** Returns the names in a settings object as {@link JsonReader#readAny} reads it. */
    public static Names names(Object settings) {
        Map<?, ?> all = map(settings, "Facts");
        Map<?, ?> domain = map(all.get("Domain"), "Domain");
        List<String> groups = new ArrayList<>();
        for (Object group : list(all.get("RequestClasses"), "RequestClasses")) {
            groups.add(String.valueOf(map(group, "RequestClasses").get("Name")));
        }
        return new Names(
                strings(all, "Zones"), strings(all, "Models"), groups, (int) longValue(domain, "ProxyCount"), (int)
                        longValue(domain, "Ranges"));
    }

    private static List<String> strings(Map<?, ?> object, String key) {
        return list(object.get(key), key).stream().map(String::valueOf).toList();
    }

    /**
     * Returns the settings in a settings object as {@link JsonReader#readAny} reads it; a missing key counts as 0 or
     * false.
     */
    public static Settings settings(Object settings) {
        Map<?, ?> all = map(settings, "Facts");
        Map<?, ?> domain = map(all.get("Domain"), "Domain");
        Map<?, ?> rules = map(all.get("Rules"), "Rules");
        List<Settings.Group> groups = new ArrayList<>();
        for (Object group : list(all.get("RequestClasses"), "RequestClasses")) {
            groups.add(group(map(group, "RequestClasses")));
        }
        String throttle = String.valueOf(domain.get("ThrottleBy"));
        return new Settings(
                "ask".equals(all.get("Discovery")),
                throttle.equals("per_second"),
                !throttle.equals("off"),
                groups,
                (int) longValue(domain, "Ranges"),
                booleanValue(domain, "SoleOwner"),
                doubleValue(domain, "Backlog"),
                doubleValue(domain, "EgressPerS"),
                doubleValue(domain, "Overhead"),
                (int) longValue(domain, "PushesAllowed"),
                longValue(domain, "CountedOverNs"),
                longValue(domain, "ReportEveryNs"),
                longValue(rules, "StopSendingWithinNs"),
                longValue(rules, "WarmWithinNs"),
                doubleValue(rules, "StartCapacity"),
                doubleValue(rules, "FallMultiple"),
                booleanValue(map(all.get("Ceilings"), "Ceilings"), "Probes"),
                booleanValue(rules, "DroppedStayOpen"),
                longValue(domain, "Ranges") > 0 ? (int) longValue(domain, "ProxyCount") : 0);
    }

    private static Settings.Group group(Map<?, ?> group) {
        return new Settings.Group(doubleValue(group, "Importance"), longValue(group, "AimNs"));
    }

    private static double doubleValue(Map<?, ?> object, String key) {
        Object value = object.get(key);
        if (value == null) {
            return 0;
        }
        if (value instanceof Number number) {
            return number.doubleValue();
        }
        throw new MalformedInputException(key + ": expected a number, found " + value);
    }

    private static long longValue(Map<?, ?> object, String key) {
        Object value = object.get(key);
        return value instanceof Number number ? number.longValue() : (long) doubleValue(object, key);
    }

    private static boolean booleanValue(Map<?, ?> object, String key) {
        Object value = object.get(key);
        if (value == null || value instanceof Boolean) {
            return Boolean.TRUE.equals(value);
        }
        throw new MalformedInputException(key + ": expected true or false, found " + value);
    }

    private static Map<?, ?> map(Object value, String key) {
        if (value == null) {
            return Map.of();
        }
        if (value instanceof Map<?, ?> map) {
            return map;
        }
        throw new MalformedInputException(key + ": expected an object");
    }

    private static List<?> list(Object value, String key) {
        if (value == null) {
            return List.of();
        }
        if (value instanceof List<?> list) {
            return list;
        }
        throw new MalformedInputException(key + ": expected an array");
    }
}
