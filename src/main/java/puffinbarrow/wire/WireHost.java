package puffinbarrow.wire;

import com.fasterxml.jackson.core.JsonEncoding;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import puffinbarrow.control.Controller;
import puffinbarrow.control.Event;
import puffinbarrow.control.Order;

/**
 * Runs coordinators for a simulator, which creates and destroys them by events: reads one batch of events per line of
 * JSON and answers each with one line of orders. Single-threaded: {@link #run} is called once and returns at the end of
 * input.
 */
public final class WireHost {
    private final Controller.Factory factory;
    private final JsonFactory json = new JsonFactory();
    /** Running coordinators by their number on the wire. */
    private final Map<Integer, Controller> instances = new LinkedHashMap<>();
    /** Server lists by number; sent once, then referred to by the lists of many coordinators. */
    private final Map<Integer, List<Event.Entry>> pools = new LinkedHashMap<>();

    /** Creates a host without coordinators; {@code factory} makes one whenever the simulator starts one. */
    public WireHost(Controller.Factory factory) {
        this.factory = factory;
    }

    /**
     * Answers batches until the end of input.
     *
     * @throws MalformedInputException if a line does not follow the wire format
     */
    public void run(InputStream from, OutputStream to) throws IOException {
        BufferedReader lines = new BufferedReader(new InputStreamReader(from, StandardCharsets.UTF_8), 1 << 16);
        long count = 0;
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            try {
                answer(line, to);
            } catch (MalformedInputException | JsonProcessingException | ArithmeticException | NullPointerException e) {
                String problem = e instanceof JsonProcessingException j ? j.getOriginalMessage() : e.getMessage();
                throw new MalformedInputException("batch " + count + " (counted from 0): " + problem);
            }
            to.flush();
            count++;
        }
    }

    private static final class Batch {
        long nowNs;
        long seq;
        boolean hasTime;
        /** Events by coordinator, in the order in which the coordinators are first named. */
        final Map<Integer, List<Event>> inbox = new LinkedHashMap<>();
    }

    private void answer(String line, OutputStream to) throws IOException {
        Batch batch = new Batch();
        JsonGenerator out;
        // The time may come after the events in the object, so the events are kept until the batch is read completely.
        try (JsonParser parser = json.createParser(line)) {
            JsonReader in = new JsonReader(parser);
            in.expect(JsonToken.START_OBJECT, "batch");
            for (JsonToken token = in.nextToken(); token != JsonToken.END_OBJECT; token = in.nextToken()) {
                if (token == null) {
                    throw new MalformedInputException("line ends within the batch");
                }
                switch (in.fieldName()) {
                    case "AtTimeNs" -> {
                        batch.nowNs = in.readLong("AtTimeNs");
                        batch.hasTime = true;
                    }
                    case "seq" -> batch.seq = in.readLong("seq");
                    case "happened" -> readEvents(in, batch);
                    default -> in.readAny();
                }
            }
        }
        if (!batch.hasTime) {
            throw new MalformedInputException("AtTimeNs is missing");
        }
        out = json.createGenerator(to, JsonEncoding.UTF8);
        out.disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);
        out.disable(JsonGenerator.Feature.FLUSH_PASSED_TO_STREAM);
        out.writeStartObject();
        out.writeNumberField("seq", batch.seq);
        out.writeArrayFieldStart("out");
        for (Map.Entry<Integer, List<Event>> inbox : batch.inbox.entrySet()) {
            Controller controller = instances.get(inbox.getKey());
            if (controller == null) {
                continue;
            }
            List<Order> orders;
            try {
                orders = controller.handle(batch.nowNs, inbox.getValue());
            } catch (RuntimeException failure) {
                StringWriter trace = new StringWriter();
                failure.printStackTrace(new PrintWriter(trace));
                out.writeStartArray();
                out.writeString("InternalError");
                out.writeNumber(inbox.getKey());
                out.writeString(trace.toString());
                out.writeEndArray();
                continue;
            }
            for (Order order : orders) {
                OrderWriter.write(out, inbox.getKey(), order);
            }
        }
        out.writeEndArray();
        out.writeEndObject();
        out.writeRaw('\n');
        out.close();
    }

    private void readEvents(JsonReader in, Batch batch) throws IOException {
        in.expect(JsonToken.START_ARRAY, "happened");
        for (JsonToken token = in.nextToken(); token != JsonToken.END_ARRAY; token = in.nextToken()) {
            if (token != JsonToken.START_ARRAY) {
                throw new MalformedInputException("event: expected an array, found " + token);
            }
            readEvent(in, batch);
            in.skipRestOfArray();
        }
    }

    private void readEvent(JsonReader in, Batch batch) throws IOException {
        String name = in.readString("event name");
        if (name.equals("Pool")) {
            pools.put(in.readInt("Ref"), readPool(in));
            return;
        }
        int instance = in.readInt("Who");
        switch (name) {
            case "Born" -> {
                long seed = in.readLong("Salt");
                instances.put(instance, factory.start(SettingsReader.settings(in.readAny()), seed));
                batch.inbox.put(instance, new ArrayList<>());
                return;
            }
            case "Destroy" -> {
                instances.remove(instance);
                batch.inbox.remove(instance);
                return;
            }
            default -> {}
        }
        Event event =
                switch (name) {
                    case "Registry" -> {
                        in.readLong("Version");
                        Event.ListKind kind = listKind(in.readString("Mode"));
                        int pool = in.readInt("Ref");
                        List<Event.Entry> entries = kind == Event.ListKind.BROKEN ? List.of() : pools.get(pool);
                        if (entries == null) {
                            throw new MalformedInputException("Registry: unknown pool " + pool);
                        }
                        yield new Event.ServerList(kind, entries);
                    }
                    case "Wakeup" -> new Event.Timer(in.readLong("Label"));
                    case "Health" -> {
                        long tookNs = in.readLong("TookNs");
                        String server = in.readString("Backend");
                        yield new Event.Probed(server, in.readLong("Code") == 1, tookNs, in.readReport("Load"));
                    }
                    case "Heard" -> new Event.PeerMessage(in.readInt("Sender"), in.readString("Bytes"));
                    case "Connected" -> {
                        boolean fresh = in.readBoolean("Yes");
                        double flowsPerS = in.readDouble("W");
                        yield new Event.ProxyJoined(in.readInt("Agent"), fresh, flowsPerS, in.readInt("Az"));
                    }
                    case "Left" -> new Event.ProxyLeft(in.readInt("Agent"));
                    case "Observed" -> {
                        int zone = in.readInt("Az");
                        long spanNs = in.readLong("WindowNs");
                        long tookNs = in.readLong("TookNs");
                        String server = in.readString("Backend");
                        long dropped = in.readLong("Lost");
                        yield new Event.ServerSums(
                                server, zone, spanNs, tookNs, dropped, in.readLong("Count"), in.readReport("Load"));
                    }
                    case "Ingress" -> {
                        int proxy = in.readInt("Agent");
                        int group = in.readInt("Class");
                        long flows = in.readLong("Count");
                        long dropped = in.readLong("Lost");
                        yield new Event.ProxyDemand(proxy, group, flows, dropped, in.readLong("WindowNs"));
                    }
                    case "RangeLoad" -> {
                        int slice = in.readInt("Tbl");
                        int group = in.readInt("Class");
                        long flows = in.readLong("Count");
                        long dropped = in.readLong("Lost");
                        yield new Event.SliceDemand(slice, group, flows, dropped, in.readLong("WindowNs"));
                    }
                    case "Leased" -> {
                        int slice = in.readInt("Tbl");
                        yield new Event.SliceCharge(slice, in.readBoolean("Yes"));
                    }
                    case "StandingLine" -> {
                        String server = in.readString("Backend");
                        int slice = in.readInt("Tbl");
                        yield new Event.StoredLine(slice, server, in.readDouble("W"));
                    }
                    case "InForce" -> {
                        int proxy = in.readInt("Agent");
                        int mark = in.readInt("Version");
                        yield new Event.InForce(proxy, mark, in.readLong("TookNs"));
                    }
                    default -> throw new MalformedInputException("unknown event " + name);
                };
        // Events for a coordinator that is not running are valid: it was destroyed while they were in transit.
        if (instances.containsKey(instance)) {
            batch.inbox.computeIfAbsent(instance, w -> new ArrayList<>()).add(event);
        }
    }

    private static Event.ListKind listKind(String mode) {
        return switch (mode) {
            case "patch" -> Event.ListKind.PATCH;
            case "whole" -> Event.ListKind.WHOLE;
            case "stale_copy" -> Event.ListKind.STALE_COPY;
            case "broken" -> Event.ListKind.BROKEN;
            default -> throw new MalformedInputException("Registry: unknown mode " + mode);
        };
    }

    /** Reads the members of a server list. */
    private static List<Event.Entry> readPool(JsonReader in) throws IOException {
        in.expect(JsonToken.START_ARRAY, "Members");
        List<Event.Entry> entries = new ArrayList<>();
        for (JsonToken token = in.nextToken(); token != JsonToken.END_ARRAY; token = in.nextToken()) {
            if (token != JsonToken.START_ARRAY) {
                throw new MalformedInputException("Members: expected an array, found " + token);
            }
            String server = in.readString("Backend");
            int zone = in.readInt("Az");
            int machineType = in.readInt("Hw");
            int cell = in.readInt("Bay");
            String mode = in.readString("Mode");
            Event.Listed listed =
                    switch (mode) {
                        case "ready" -> Event.Listed.READY;
                        case "draining" -> Event.Listed.DRAINING;
                        case "gone" -> Event.Listed.GONE;
                        default -> throw new MalformedInputException("Members: unknown mode " + mode);
                    };
            double size = in.readDouble("W");
            entries.add(new Event.Entry(server, zone, machineType, cell, listed, size, in.readLong("BornNs")));
            in.skipRestOfArray();
        }
        return entries;
    }
}
