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

/**
 * Operations of the command line on a memory folder, which a coordinator may be using. Only {@link #compact} writes.
 */
public final class FolderInspector {
    /**
     * Contents of a folder.
     *
     * @param complete whether a complete snapshot was found
     * @param commit the number of the last commit in the image
     * @param image the facts found
     * @param messages one line for each file that was used or rejected
     */
    public record Found(boolean complete, long commit, Facts.Image image, List<String> messages) {}

    private FolderInspector() {}

    /** Reads a folder without locking it. */
    public static Found read(Path folder) throws IOException {
        if (!Files.isDirectory(folder)) {
            throw new IOException("no folder " + folder);
        }
        Store.Contents contents = Store.read(new RealDisk(folder));
        return new Found(contents.complete(), contents.sequence(), contents.image(), contents.messages());
    }

    /** Replaces the files by one snapshot of the valid contents; fails if a coordinator is using the folder. */
    public static List<String> compact(Path folder, long maxBytes) throws IOException {
        List<String> messages = new ArrayList<>();
        try (Store store = Store.open(new RealDisk(folder), maxBytes, messages)) {
            messages.add("wrote one snapshot of " + store.image().size() + " facts, up to commit " + store.sequence());
        }
        return messages;
    }

    /** Writes the facts as JSON, one object a line. */
    public static void export(Facts.Image image, OutputStream to) throws IOException {
        JsonFactory json = new JsonFactory();
        for (Facts.Fact fact : image.all()) {
            try (JsonGenerator out = json.createGenerator(to, JsonEncoding.UTF8)) {
                out.disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);
                out.writeStartObject();
                out.writeStringField("key", fact.key());
                out.writeNumberField("atNs", fact.atNs());
                if (fact instanceof Facts.ServerFact f) {
                    out.writeNumberField("drainingSinceNs", f.drainingSinceNs());
                    writeTimes(out, "starts", f.starts());
                    writeTimes(out, "falls", f.falls());
                    writeTimes(out, "returns", f.returns());
                    out.writeStringField("standing", f.state());
                    out.writeNumberField("holdNs", f.holdNs());
                    out.writeNumberField("size", f.size());
                    out.writeNumberField("tookNs", f.latencyNs());
                    out.writeNumberField("load", f.load());
                } else if (fact instanceof Facts.SliceFact f) {
                    out.writeObjectFieldStart("lines");
                    for (Facts.Line line : f.lines()) {
                        out.writeNumberField(line.server(), line.weight());
                    }
                    out.writeEndObject();
                    out.writeNumberField("demand", f.demand());
                    out.writeNumberField("version", f.version());
                } else if (fact instanceof Facts.CoordinatorFact f) {
                    out.writeNumberField("incarnation", f.incarnation());
                    out.writeBooleanField("cleanEnd", f.cleanShutdown());
                    out.writeNumberField("charges", f.heldSlices().size());
                    out.writeNumberField("calmLoad", f.calmLoad());
                    out.writeNumberField("calmWhole", f.calmWhole());
                    out.writeNumberField("shed", f.shed());
                    out.writeBooleanField("strained", f.overloaded());
                }
                out.writeEndObject();
            }
            to.write('\n');
        }
    }

    private static void writeTimes(JsonGenerator out, String name, List<Long> times) throws IOException {
        out.writeArrayFieldStart(name);
        for (long time : times) {
            out.writeNumber(time);
        }
        out.writeEndArray();
    }
}
