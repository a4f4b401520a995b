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
 * Replays a recorded bench day through real coordinators and compares the orders they send with the recorded ones: for
 * each batch and instance, in order, those to proxies, and separately those to the registry, to peers and to probed
 * backends. Timers and log lines stay inside a coordinator and are only counted. The command line calls it; it
 * runs on the caller's thread.
 */
public final class Replay {
    /**
     * The result of a replay, which ends at the first difference.
     *
     * @param batches number of batches replayed
     * @param orders recorded orders that were compared
     * @param inside recorded orders that stay inside a coordinator and were only counted
     * @param coordinators number of coordinators started
     * @param difference the first difference; null if there was none
     */
    public record Result(long batches, long orders, long inside, int coordinators, String difference) {
        /** Returns whether all orders were equal to the recorded ones. */
        public boolean equal() {
            return difference == null;
        }
    }

    /** Orders that a coordinator carries out itself. */
    private static final Set<String> INTERNAL_ORDERS = Set.of("After", "WriteLog");
    /** Destination by name of order; all others go to proxies. */
    private static final Map<String, String> DESTINATIONS =
            Map.of("Follow", "registry", "Fetch", "registry", "Share", "peers", "SoundOut", "backends");

    private final JsonFactory json = new JsonFactory();
    private final Controller.Factory decisions;
    /** The coordinator of each recorded instance. */
    private final List<CoordinatorAdapter> adapters = new ArrayList<>();
    /** The wire protocol's end of each recorded process. */
    private final Map<String, WireHost> hosts = new TreeMap<>();

    private long batches;
    private long orders;
    private long inside;

    private Replay(Controller.Factory decisions) {
        this.decisions = decisions;
    }

    /** Replays the recording; throws if it cannot be read or is malformed. */
    public static Result play(Path recording, Controller.Factory decisions) throws IOException {
        Replay replay = new Replay(decisions);
        try (BufferedReader in = Files.newBufferedReader(recording, StandardCharsets.UTF_8)) {
            String difference = replay.play(in);
            return new Result(replay.batches, replay.orders, replay.inside, replay.adapters.size(), difference);
        } finally {
            replay.adapters.forEach(CoordinatorAdapter::close);
        }
    }

    /** Returns the first difference, or null. */
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
                throw new IOException("line " + line + ": the recording ends after a header");
            }
            if (batch) {
                answers.put(process, answer(process, body));
                batches++;
            } else {
                String reply = answers.remove(process);
                if (reply == null) {
                    throw new IOException("line " + line + ": a reply without a batch");
                }
                String difference = compare(body, reply);
                if (difference != null) {
                    return "batch " + batches + " of " + process + " (line " + (line - 2) + "): " + difference;
                }
            }
        }
        return null;
    }

    /** Feeds the batch to the process's coordinators and returns their reply. */
    private String answer(String process, String batch) throws IOException {
        WireHost host = hosts.computeIfAbsent(process, p -> new WireHost(this::startCoordinator));
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        host.run(new ByteArrayInputStream(batch.getBytes(StandardCharsets.UTF_8)), out);
        return out.toString(StandardCharsets.UTF_8);
    }

    private Controller startCoordinator(Settings settings, long seed) {
        try {
            CoordinatorAdapter adapter = new CoordinatorAdapter(settings, seed, decisions);
            adapters.add(adapter);
            return adapter;
        } catch (IOException noSocket) {
            throw new IllegalStateException(noSocket);
        }
    }

    /** Returns the first difference, or null. */
    private String compare(String recordedReply, String sentReply) throws IOException {
        Map<String, List<String>> recorded = split(recordedReply, true);
        Map<String, List<String>> sent = split(sentReply, false);
        if (sent.containsKey("failure")) {
            return "the replay failed: " + sent.get("failure");
        }
        for (Map.Entry<String, List<String>> entry : recorded.entrySet()) {
            String difference =
                    firstDifference(entry.getKey(), entry.getValue(), sent.getOrDefault(entry.getKey(), List.of()));
            if (difference != null) {
                return difference;
            }
        }
        for (Map.Entry<String, List<String>> entry : sent.entrySet()) {
            if (!recorded.containsKey(entry.getKey())) {
                return firstDifference(entry.getKey(), List.of(), entry.getValue());
            }
        }
        return null;
    }

    /** Returns the first difference between the orders to one destination, or null. */
    private static String firstDifference(String destination, List<String> recorded, List<String> sent) {
        for (int i = 0; i < Math.max(recorded.size(), sent.size()); i++) {
            String recordedOrder = i < recorded.size() ? recorded.get(i) : "nothing";
            String sentOrder = i < sent.size() ? sent.get(i) : "nothing";
            if (!recordedOrder.equals(sentOrder)) {
                return "order " + i + " to " + destination + ": recorded " + recordedOrder + ", sent " + sentOrder;
            }
        }
        return null;
    }

    /** Returns the orders of a reply as text, by destination and instance; adds them to the counters if asked to. */
    private Map<String, List<String>> split(String reply, boolean count) throws IOException {
        Map<String, List<String>> split = new TreeMap<>();
        try (JsonParser in = json.createParser(reply)) {
            for (JsonToken t = in.nextToken(); t != null; t = in.nextToken()) {
                if (t != JsonToken.FIELD_NAME || !in.currentName().equals("out")) {
                    continue;
                }
                in.nextToken();
                while (in.nextToken() == JsonToken.START_ARRAY) {
                    List<String> fields = new ArrayList<>();
                    while (in.nextToken() != JsonToken.END_ARRAY) {
                        fields.add(
                                in.currentToken().isNumeric() && in.currentToken() == JsonToken.VALUE_NUMBER_FLOAT
                                        ? Double.toString(in.getDoubleValue())
                                        : in.getText());
                    }
                    String name = fields.get(0);
                    if (INTERNAL_ORDERS.contains(name)) {
                        inside += count ? 1 : 0;
                    } else if (name.equals("InternalError")) {
                        split.computeIfAbsent("failure", k -> new ArrayList<>()).add(String.join(" ", fields));
                    } else {
                        orders += count ? 1 : 0;
                        split.computeIfAbsent(
                                        DESTINATIONS.getOrDefault(name, "proxies") + " of instance " + fields.get(1),
                                        k -> new ArrayList<>())
                                .add(String.join(" ", fields));
                    }
                }
            }
        }
        return split;
    }
}
