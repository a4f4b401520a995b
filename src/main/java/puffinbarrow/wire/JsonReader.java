package puffinbarrow.wire;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import puffinbarrow.control.Event;

/** Reads JSON values one after the other, each of an expected type; a value of another type is malformed input. */
public final class JsonReader {
    /** The measures of a load report by their names on the wire and in the settings. */
    public static final Map<String, Event.Measure> MEASURES = Map.of(
            "cpu_share",
            Event.Measure.BUSY,
            "busy_reqs",
            Event.Measure.HELD,
            "pending",
            Event.Measure.WAITING,
            "svc_ms",
            Event.Measure.SERVICE_MS,
            "served_ps",
            Event.Measure.DELIVERED_PER_S,
            "failed_ps",
            Event.Measure.DROPPED_PER_S);

    private final JsonParser in;

    /** Reads from the parser's current position. */
    public JsonReader(JsonParser in) {
        this.in = in;
    }

    JsonToken nextToken() throws IOException {
        return in.nextToken();
    }

    void expect(JsonToken expected, String field) throws IOException {
        if (in.nextToken() != expected) {
            throw unexpected(field, expected.name());
        }
    }

    /** Reads an integer; null counts as 0, and larger numbers keep their lowest 64 bits. */
    long readLong(String field) throws IOException {
        return toLong(field, in.nextToken());
    }

    long toLong(String field, JsonToken token) throws IOException {
        if (token == JsonToken.VALUE_NULL) {
            return 0;
        }
        if (token != JsonToken.VALUE_NUMBER_INT) {
            throw unexpected(field, "a whole number");
        }
        return in.getBigIntegerValue().longValue();
    }

    /** Reads an integer that fits an int, else throws ArithmeticException. */
    int readInt(String field) throws IOException {
        return Math.toIntExact(readLong(field));
    }

    /** Reads a number; null counts as 0. */
    double readDouble(String field) throws IOException {
        JsonToken token = in.nextToken();
        if (token == JsonToken.VALUE_NULL) {
            return 0;
        }
        if (!token.isNumeric()) {
            throw unexpected(field, "a number");
        }
        return in.getDoubleValue();
    }

    boolean readBoolean(String field) throws IOException {
        JsonToken token = in.nextToken();
        if (!token.isBoolean()) {
            throw unexpected(field, "true or false");
        }
        return token == JsonToken.VALUE_TRUE;
    }

    String readString(String field) throws IOException {
        if (in.nextToken() != JsonToken.VALUE_STRING) {
            throw unexpected(field, "a string");
        }
        return in.getText();
    }

    /** Reads a load report; null counts as an empty one, and unknown measures are skipped. */
    Map<Event.Measure, Double> readReport(String field) throws IOException {
        JsonToken token = in.nextToken();
        if (token == JsonToken.VALUE_NULL) {
            return Map.of();
        }
        if (token != JsonToken.START_OBJECT) {
            throw unexpected(field, "an object of numbers");
        }
        Map<Event.Measure, Double> report = new EnumMap<>(Event.Measure.class);
        while (in.nextToken() != JsonToken.END_OBJECT) {
            Event.Measure measure = MEASURES.get(in.currentName());
            double value = readDouble(field);
            if (measure != null) {
                report.put(measure, value);
            }
        }
        return report;
    }

    /** Reads any value: an object as a map in its order, an array as a list, others as plain values or null. */
    public Object readAny() throws IOException {
        return readAny(in.nextToken());
    }

    private Object readAny(JsonToken token) throws IOException {
        switch (token) {
            case START_OBJECT -> {
                Map<String, Object> map = new LinkedHashMap<>();
                while (in.nextToken() != JsonToken.END_OBJECT) {
                    map.put(in.currentName(), readAny());
                }
                return map;
            }
            case START_ARRAY -> {
                List<Object> list = new ArrayList<>();
                for (JsonToken t = in.nextToken(); t != JsonToken.END_ARRAY; t = in.nextToken()) {
                    list.add(readAny(t));
                }
                return list;
            }
            case VALUE_STRING -> {
                return in.getText();
            }
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> {
                return in.getNumberValue();
            }
            case VALUE_TRUE, VALUE_FALSE -> {
                return token == JsonToken.VALUE_TRUE;
            }
            default -> {
                return null;
            }
        }
    }

    /** Returns the name of the field whose value comes next. */
    String fieldName() throws IOException {
        return in.currentName();
    }

    /** Skips to the end of the current array, to which later versions of the wire format may append values. */
    void skipRestOfArray() throws IOException {
        for (JsonToken t = in.nextToken(); t != JsonToken.END_ARRAY; t = in.nextToken()) {
            if (t == null) {
                throw new MalformedInputException("line ends within an array");
            }
            in.skipChildren();
        }
    }

    private MalformedInputException unexpected(String field, String expected) throws IOException {
        return new MalformedInputException(field + ": expected " + expected + ", found " + in.currentToken());
    }
}
