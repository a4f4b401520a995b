package puffinbarrow.replay;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.BufferedReader;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import puffinbarrow.control.Controller;
import puffinbarrow.control.Settings;
import puffinbarrow.wire.WireHost;

/**
 * Plays a recorded bench day through real coordinators and compares, order for order, what they send with what the
 * record has: for each batch and instance what went to proxies in its order, and apart from that what went to the
 * registry, to peers and to probed backends. Timers and log lines stay inside a coordinator and are only counted.
 */
public final class Replay {
    /** What a replay found; {@code difference} is null if there was none. */
    public record Result(long batches, long orders, long inside, int coordinators, String difference) {
        public boolean equal() {
            return difference == null;
        }
    }

    private static final Set<String> INSIDE = Set.of("After", "WriteLog");
    private static final Map<String, String> TO =
            Map.of("Follow", "registry", "Fetch", "registry", "Share", "peers", "SoundOut", "backends");

    private final JsonFactory json = new JsonFactory();
    private final Controller.Factory decisions;
    private final List<Bridge> bridges = new ArrayList<>();
    private final Map<String, WireHost> hosts = new TreeMap<>();
    private long batches, orders, inside;

    private Replay(Controller.Factory decisions) {
        this.decisions = decisions;
    }

    public static Result play(Path tap, Controller.Factory decisions) throws IOException {
        Replay replay = new Replay(decisions);
        try (BufferedReader in = Files.newBufferedReader(tap, StandardCharsets.UTF_8)) {
            String difference = replay.play(in);
            return new Result(replay.batches, replay.orders, replay.inside, replay.bridges.size(), difference);
        } finally {
            replay.bridges.forEach(Bridge::close);
        }
    }

    private String play(BufferedReader in) throws IOException {
        Map<String, String> answers = new TreeMap<>();
        int line = 0;
        for (String head = in.readLine(); head != null; head = in.readLine()) {
            line++;
            boolean batch = head.startsWith(">> ");
            if (!batch && !head.startsWith("<< ")) {
                throw new IOException("line " + line + ": found '" + head.substring(0, Math.min(40, head.length()))
                        + "', expected '>> process N, N bytes' or '<< ...'");
            }
            String process = head.substring(3).split(",")[0];
            String body = in.readLine();
            line++;
            if (body == null) {
                throw new IOException("line " + line + ": the record ends after a header");
            }
            if (batch) {
                answers.put(process, answer(process, body));
                batches++;
            } else {
                String ours = answers.remove(process);
                if (ours == null) {
                    throw new IOException("line " + line + ": a reply without its batch");
                }
                String difference = compare(body, ours);
                if (difference != null) {
                    return "batch " + batches + " of " + process + " (line " + (line - 2) + "): " + difference;
                }
            }
        }
        return null;
    }

    private String answer(String process, String batch) throws IOException {
        WireHost host = hosts.computeIfAbsent(process, p -> new WireHost(this::start));
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        host.run(new ByteArrayInputStream(batch.getBytes(StandardCharsets.UTF_8)), out);
        return out.toString(StandardCharsets.UTF_8);
    }

    private Controller start(Settings settings, long seed) {
        try {
            Bridge bridge = new Bridge(settings, seed, decisions);
            bridges.add(bridge);
            return bridge;
        } catch (IOException noSocket) {
            throw new IllegalStateException(noSocket);
        }
    }

    private String compare(String recorded, String ours) throws IOException {
        Map<String, List<String>> theirs = split(recorded, true);
        Map<String, List<String>> mine = split(ours, false);
        if (mine.containsKey("failure")) {
            return "the replay itself failed: " + mine.get("failure");
        }
        for (Map.Entry<String, List<String>> each : theirs.entrySet()) {
            String difference = differ(each.getKey(), each.getValue(), mine.getOrDefault(each.getKey(), List.of()));
            if (difference != null) {
                return difference;
            }
        }
        for (Map.Entry<String, List<String>> each : mine.entrySet()) {
            if (!theirs.containsKey(each.getKey())) {
                return differ(each.getKey(), List.of(), each.getValue());
            }
        }
        return null;
    }

    private static String differ(String where, List<String> recorded, List<String> ours) {
        for (int i = 0; i < Math.max(recorded.size(), ours.size()); i++) {
            String a = i < recorded.size() ? recorded.get(i) : "nothing";
            String b = i < ours.size() ? ours.get(i) : "nothing";
            if (!a.equals(b)) {
                return "order " + i + " to " + where + ": recorded " + a + ", sent " + b;
            }
        }
        return null;
    }

    /** The orders of a reply by instance and destination, each as its text. */
    private Map<String, List<String>> split(String reply, boolean count) throws IOException {
        Map<String, List<String>> split = new TreeMap<>();
        try (JsonParser in = json.createParser(reply)) {
            for (JsonToken t = in.nextToken(); t != null; t = in.nextToken()) {
                if (t != JsonToken.FIELD_NAME || !in.currentName().equals("out")) {
                    continue;
                }
                in.nextToken();
                while (in.nextToken() == JsonToken.START_ARRAY) {
                    List<String> words = new ArrayList<>();
                    while (in.nextToken() != JsonToken.END_ARRAY) {
                        words.add(
                                in.currentToken().isNumeric() && in.currentToken() == JsonToken.VALUE_NUMBER_FLOAT
                                        ? Double.toString(in.getDoubleValue())
                                        : in.getText());
                    }
                    String name = words.get(0);
                    if (INSIDE.contains(name)) {
                        inside += count ? 1 : 0;
                    } else if (name.equals("InternalError")) {
                        split.computeIfAbsent("failure", k -> new ArrayList<>()).add(String.join(" ", words));
                    } else {
                        orders += count ? 1 : 0;
                        split.computeIfAbsent(
                                        TO.getOrDefault(name, "proxies") + " of instance " + words.get(1),
                                        k -> new ArrayList<>())
                                .add(String.join(" ", words));
                    }
                }
            }
        }
        return split;
    }
}
