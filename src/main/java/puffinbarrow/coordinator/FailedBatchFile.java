package puffinbarrow.coordinator;

import com.fasterxml.jackson.core.JsonEncoding;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.lang.reflect.RecordComponent;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import puffinbarrow.control.Event;

/**
 * Writes a batch of events that a decision turn failed on as JSON: the time, and each event under the names of its
 * record type and components.
 */
final class FailedBatchFile {
    private FailedBatchFile() {}

    static void write(Path file, long now, List<Event> batch) throws IOException {
        try (JsonGenerator out = new JsonFactory().createGenerator(Files.newOutputStream(file), JsonEncoding.UTF8)) {
            out.useDefaultPrettyPrinter();
            out.writeStartObject();
            out.writeNumberField("now", now);
            out.writeArrayFieldStart("events");
            for (Event event : batch) {
                writeValue(out, event);
            }
            out.writeEndArray();
            out.writeEndObject();
        }
    }

    private static void writeValue(JsonGenerator out, Object value) throws IOException {
        if (value instanceof Record record) {
            out.writeStartObject();
            out.writeStringField("is", record.getClass().getSimpleName());
            for (RecordComponent component : record.getClass().getRecordComponents()) {
                out.writeFieldName(component.getName());
                try {
                    writeValue(out, component.getAccessor().invoke(record));
                } catch (ReflectiveOperationException inaccessible) {
                    throw new IOException(inaccessible);
                }
            }
            out.writeEndObject();
        } else if (value instanceof List<?> list) {
            out.writeStartArray();
            for (Object each : list) {
                writeValue(out, each);
            }
            out.writeEndArray();
        } else if (value instanceof Map<?, ?> map) {
            out.writeStartObject();
            for (Map.Entry<?, ?> each : map.entrySet()) {
                out.writeFieldName(each.getKey().toString());
                writeValue(out, each.getValue());
            }
            out.writeEndObject();
        } else if (value instanceof Number || value instanceof Boolean) {
            out.writeObject(value);
        } else {
            out.writeString(String.valueOf(value));
        }
    }
}
