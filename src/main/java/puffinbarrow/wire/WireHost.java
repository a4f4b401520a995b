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

/** Hosts many coordinators on the bench's wire: one batch a line in, one reply a line out. */
public final class WireHost {
    private final Controller.Factory factory;
    private final JsonFactory json = new JsonFactory();
    private final Map<Integer, Controller> instances = new LinkedHashMap<>();
    private final Map<Integer, List<Event.Entry>> pools = new LinkedHashMap<>();

    public WireHost(Controller.Factory factory) {
        this.factory = factory;
    }

    public void run(InputStream from, OutputStream to) throws IOException {
        BufferedReader lines = new BufferedReader(new InputStreamReader(from, StandardCharsets.UTF_8), 1 << 16);
        long count = 0;
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            try {
                answer(line, to);
            } catch (MalformedBatch | JsonProcessingException | ArithmeticException | NullPointerException e) {
                String what = e instanceof JsonProcessingException j ? j.getOriginalMessage() : e.getMessage();
                throw new MalformedBatch("batch " + count + " (from 0): " + what);
            }
            to.flush();
            count++;
        }
    }

    private static final class Batch {
        long now;
        long seq;
        boolean timed;
        final Map<Integer, List<Event>> inbox = new LinkedHashMap<>();
    }

    private void answer(String line, OutputStream to) throws IOException {
        Batch batch = new Batch();
        JsonGenerator out;
        // The clock may stand behind the events in the object, so the events are kept until all is read.
        try (JsonParser parser = json.createParser(line)) {
            Json in = new Json(parser);
            in.expect(JsonToken.START_OBJECT, "batch");
            for (JsonToken t = in.next(); t != JsonToken.END_OBJECT; t = in.next()) {
                if (t == null) {
                    throw new MalformedBatch("the line ends within the batch");
                }
                switch (in.name()) {
                    case "AtTimeNs" -> {
                        batch.now = in.integer("AtTimeNs");
                        batch.timed = true;
                    }
                    case "seq" -> batch.seq = in.integer("seq");
                    case "happened" -> readEvents(in, batch);
                    default -> in.any();
                }
            }
        }
        if (!batch.timed) {
            throw new MalformedBatch("no AtTimeNs");
        }
        out = json.createGenerator(to, JsonEncoding.UTF8);
        out.disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);
        out.disable(JsonGenerator.Feature.FLUSH_PASSED_TO_STREAM);
        out.writeStartObject();
        out.writeNumberField("seq", batch.seq);
        out.writeArrayFieldStart("out");
        for (Map.Entry<Integer, List<Event>> each : batch.inbox.entrySet()) {
            Controller controller = instances.get(each.getKey());
            if (controller == null) {
                continue;
            }
            List<Order> orders;
            try {
                orders = controller.handle(batch.now, each.getValue());
            } catch (RuntimeException failure) {
                StringWriter trace = new StringWriter();
                failure.printStackTrace(new PrintWriter(trace));
                out.writeStartArray();
                out.writeString("InternalError");
                out.writeNumber(each.getKey());
                out.writeString(trace.toString());
                out.writeEndArray();
                continue;
            }
            for (Order order : orders) {
                Orders.write(out, each.getKey(), order);
            }
        }
        out.writeEndArray();
        out.writeEndObject();
        out.writeRaw('\n');
        out.close();
    }

    private void readEvents(Json in, Batch batch) throws IOException {
        in.expect(JsonToken.START_ARRAY, "happened");
        for (JsonToken t = in.next(); t != JsonToken.END_ARRAY; t = in.next()) {
            if (t != JsonToken.START_ARRAY) {
                throw new MalformedBatch("event: wanted an array, found " + t);
            }
            readEvent(in, batch);
            in.endArray();
        }
    }

    private void readEvent(Json in, Batch batch) throws IOException {
        String name = in.text("event name");
        if (name.equals("Pool")) {
            pools.put(in.small("Ref"), readPool(in));
            return;
        }
        int who = in.small("Who");
        switch (name) {
            case "Born" -> {
                long seed = in.integer("Salt");
                instances.put(who, factory.start(Facts.settings(in.any()), seed));
                batch.inbox.put(who, new ArrayList<>());
                return;
            }
            case "Destroy" -> {
                instances.remove(who);
                batch.inbox.remove(who);
                return;
            }
            default -> {}
        }
        Event event =
                switch (name) {
                    case "Registry" -> {
                        in.integer("Version");
                        Event.ListKind kind = kind(in.text("Mode"));
                        int ref = in.small("Ref");
                        List<Event.Entry> entries = kind == Event.ListKind.BROKEN ? List.of() : pools.get(ref);
                        if (entries == null) {
                            throw new MalformedBatch("Registry: no pool " + ref);
                        }
                        yield new Event.ServerList(kind, entries);
                    }
                    case "Wakeup" -> new Event.Timer(in.integer("Label"));
                    case "Health" -> {
                        long took = in.integer("TookNs");
                        String server = in.text("Backend");
                        yield new Event.Probed(server, in.integer("Code") == 1, took, in.pairs("Load"));
                    }
                    case "Heard" -> new Event.PeerMessage(in.small("Sender"), in.text("Bytes"));
                    case "Connected" -> {
                        boolean fresh = in.bool("Yes");
                        double flows = in.number("W");
                        yield new Event.ProxyJoined(in.small("Agent"), fresh, flows, in.small("Az"));
                    }
                    case "Left" -> new Event.ProxyLeft(in.small("Agent"));
                    case "Observed" -> {
                        int zone = in.small("Az");
                        long span = in.integer("WindowNs");
                        long took = in.integer("TookNs");
                        String server = in.text("Backend");
                        long lost = in.integer("Lost");
                        yield new Event.ServerSums(
                                server, zone, span, took, lost, in.integer("Count"), in.pairs("Load"));
                    }
                    case "Ingress" -> {
                        int proxy = in.small("Agent");
                        int group = in.small("Class");
                        long count = in.integer("Count");
                        long lost = in.integer("Lost");
                        yield new Event.ProxyDemand(proxy, group, count, lost, in.integer("WindowNs"));
                    }
                    case "RangeLoad" -> {
                        int table = in.small("Tbl");
                        int group = in.small("Class");
                        long count = in.integer("Count");
                        long lost = in.integer("Lost");
                        yield new Event.SliceDemand(table, group, count, lost, in.integer("WindowNs"));
                    }
                    case "Leased" -> {
                        int table = in.small("Tbl");
                        yield new Event.SliceCharge(table, in.bool("Yes"));
                    }
                    case "StandingLine" -> {
                        String server = in.text("Backend");
                        int table = in.small("Tbl");
                        yield new Event.StoredLine(table, server, in.number("W"));
                    }
                    case "InForce" -> {
                        int proxy = in.small("Agent");
                        int mark = in.small("Version");
                        yield new Event.InForce(proxy, mark, in.integer("TookNs"));
                    }
                    default -> throw new MalformedBatch("unknown event " + name);
                };
        // Events for an instance that does not run are legal: it was killed while they were on the way.
        if (instances.containsKey(who)) {
            batch.inbox.computeIfAbsent(who, w -> new ArrayList<>()).add(event);
        }
    }

    private static Event.ListKind kind(String mode) {
        return switch (mode) {
            case "patch" -> Event.ListKind.PATCH;
            case "whole" -> Event.ListKind.WHOLE;
            case "stale_copy" -> Event.ListKind.STALE_COPY;
            case "broken" -> Event.ListKind.BROKEN;
            default -> throw new MalformedBatch("Registry: unknown mode " + mode);
        };
    }

    private static List<Event.Entry> readPool(Json in) throws IOException {
        in.expect(JsonToken.START_ARRAY, "Members");
        List<Event.Entry> entries = new ArrayList<>();
        for (JsonToken t = in.next(); t != JsonToken.END_ARRAY; t = in.next()) {
            if (t != JsonToken.START_ARRAY) {
                throw new MalformedBatch("Members: wanted an array, found " + t);
            }
            String server = in.text("Backend");
            int zone = in.small("Az");
            int hardware = in.small("Hw");
            int cell = in.small("Bay");
            String mode = in.text("Mode");
            Event.Listed listed =
                    switch (mode) {
                        case "ready" -> Event.Listed.READY;
                        case "draining" -> Event.Listed.DRAINING;
                        case "gone" -> Event.Listed.GONE;
                        default -> throw new MalformedBatch("Members: unknown mode " + mode);
                    };
            double size = in.number("W");
            entries.add(new Event.Entry(server, zone, hardware, cell, listed, size, in.integer("BornNs")));
            in.endArray();
        }
        return entries;
    }
}
