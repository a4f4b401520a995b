package puffinbarrow.load;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.util.MinimalPrettyPrinter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.zip.GZIPOutputStream;

/**
 * Passes on the flows of a run and records each as a JSON line, so that a trace line of a scenario sends exactly the
 * same again: same starts to the nanosecond, groups, keys, work, methods and paths. Compresses with gzip if the file
 * name ends in .gz. Used on the feeder's thread.
 */
public final class FlowRecorder implements FlowSource {
    /** Column that marks a trace as one of these recordings; its times are nanoseconds from the run's start. */
    static final String TIME_COLUMN = "at_ns";

    private final FlowSource source;
    private final Scenario scenario;
    private final JsonGenerator out;

    public FlowRecorder(FlowSource source, Scenario scenario, Path file) throws IOException {
        this.source = source;
        this.scenario = scenario;
        var raw = Files.newOutputStream(file);
        this.out = new JsonFactory().createGenerator(file.toString().endsWith(".gz") ? new GZIPOutputStream(raw) : raw);
        out.setPrettyPrinter(new MinimalPrettyPrinter("\n"));
    }

    @Override
    public Flow next() throws IOException {
        Flow flow = source.next();
        if (flow == null) {
            return null;
        }
        Scenario.Group group = scenario.groups.get(flow.group());
        Flow.Request request = flow.request();
        out.writeStartObject();
        out.writeNumberField(TIME_COLUMN, flow.startNs());
        out.writeStringField("group", group.name());
        out.writeStringField("method", request == null ? group.method() : request.method());
        out.writeStringField("path", request == null ? group.path() : request.path());
        out.writeStringField(
                "key", request == null || request.key() == null ? Integer.toString(flow.key()) : request.key());
        out.writeNumberField("body", request == null ? group.bodyBytes() : request.bodyBytes());
        out.writeNumberField("work", flow.workNs());
        out.writeNumberField("target", flow.target());
        out.writeEndObject();
        return flow;
    }

    @Override
    public void close() throws IOException {
        out.close();
        source.close();
    }
}
