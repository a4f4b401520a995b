package puffinbarrow.memory;

import com.fasterxml.jackson.core.JsonEncoding;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** What people ask of a memory folder, live or dead. Only {@link #compact} writes. */
public final class Inspect {
    /** What a folder holds and whether it is whole. */
    public record Found(boolean whole, long commit, Facts.Image image, List<String> words) {}

    private Inspect() {}

    public static Found look(Path folder) throws IOException {
        if (!Files.isDirectory(folder)) {
            throw new IOException("no folder " + folder);
        }
        Store.Opened found = Store.read(new RealDisk(folder));
        return new Found(found.whole(), found.sequence(), found.image(), found.words());
    }

    /** Takes the folder, so it fails on a live one, and writes one snapshot of what is believed. */
    public static List<String> compact(Path folder, long cap) throws IOException {
        List<String> words = new ArrayList<>();
        try (Store store = Store.open(new RealDisk(folder), cap, words)) {
            words.add("one snapshot of " + store.image().size() + " facts, up to commit " + store.sequence());
        }
        return words;
    }

    /** One JSON object a line. */
    public static void export(Facts.Image image, OutputStream to) throws IOException {
        JsonFactory json = new JsonFactory();
        for (Facts.Fact fact : image.all()) {
            try (JsonGenerator out = json.createGenerator(to, JsonEncoding.UTF8)) {
                out.disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);
                out.writeStartObject();
                out.writeStringField("key", fact.key());
                out.writeNumberField("atNs", fact.atNs());
                if (fact instanceof Facts.OfServer f) {
                    out.writeNumberField("drainingSinceNs", f.drainingSinceNs());
                    times(out, "starts", f.starts());
                    times(out, "falls", f.falls());
                    times(out, "returns", f.returns());
                    out.writeStringField("standing", f.standing());
                    out.writeNumberField("holdNs", f.holdNs());
                    out.writeNumberField("size", f.size());
                    out.writeNumberField("tookNs", f.tookNs());
                    out.writeNumberField("load", f.load());
                } else if (fact instanceof Facts.OfSlice f) {
                    out.writeObjectFieldStart("lines");
                    for (Facts.Line line : f.lines()) {
                        out.writeNumberField(line.server(), line.weight());
                    }
                    out.writeEndObject();
                    out.writeNumberField("demand", f.demand());
                    out.writeNumberField("version", f.version());
                } else if (fact instanceof Facts.OfSelf f) {
                    out.writeNumberField("incarnation", f.incarnation());
                    out.writeBooleanField("cleanEnd", f.cleanEnd());
                    out.writeNumberField("charges", f.charges().size());
                    out.writeNumberField("calmLoad", f.calmLoad());
                    out.writeNumberField("calmWhole", f.calmWhole());
                    out.writeNumberField("shed", f.shed());
                    out.writeBooleanField("strained", f.strained());
                }
                out.writeEndObject();
            }
            to.write('\n');
        }
    }

    private static void times(JsonGenerator out, String name, List<Long> times) throws IOException {
        out.writeArrayFieldStart(name);
        for (long time : times) {
            out.writeNumber(time);
        }
        out.writeEndArray();
    }
}
