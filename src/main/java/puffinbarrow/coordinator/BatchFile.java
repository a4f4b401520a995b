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

/** Keeps a batch that the decisions failed on, as JSON: the time, and each event by its record's names. */
final class BatchFile {
    private BatchFile() {}

    static void write(Path file, long now, List<Event> batch) throws IOException {
        try (JsonGenerator out = new JsonFactory().createGenerator(Files.newOutputStream(file), JsonEncoding.UTF8)) {
            out.useDefaultPrettyPrinter();
            out.writeStartObject();
            out.writeNumberField("now", now);
            out.writeArrayFieldStart("events");
            for (Event event : batch) {
                value(out, event);
            }
            out.writeEndArray();
            out.writeEndObject();
        }
    }

    private static void value(JsonGenerator out, Object value) throws IOException {
        if (value instanceof Record record) {
            out.writeStartObject();
            out.writeStringField("is", record.getClass().getSimpleName());
            for (RecordComponent part : record.getClass().getRecordComponents()) {
                out.writeFieldName(part.getName());
                try {
                    value(out, part.getAccessor().invoke(record));
                } catch (ReflectiveOperationException hidden) {
                    throw new IOException(hidden);
                }
            }
            out.writeEndObject();
        } else if (value instanceof List<?> list) {
            out.writeStartArray();
            for (Object each : list) {
                value(out, each);
            }
            out.writeEndArray();
        } else if (value instanceof Map<?, ?> map) {
            out.writeStartObject();
            for (Map.Entry<?, ?> each : map.entrySet()) {
                out.writeFieldName(each.getKey().toString());
                value(out, each.getValue());
            }
            out.writeEndObject();
        } else if (value instanceof Number || value instanceof Boolean) {
            out.writeObject(value);
        } else {
            out.writeString(String.valueOf(value));
        }
    }
}
