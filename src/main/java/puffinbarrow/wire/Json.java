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

/** Reads values one after the other, each of the type the wire states. */
public final class Json {
    /** Values of a load report by the names the settings give them. */
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

    public Json(JsonParser in) {
        this.in = in;
    }

    JsonToken next() throws IOException {
        return in.nextToken();
    }

    void expect(JsonToken wanted, String what) throws IOException {
        if (in.nextToken() != wanted) {
            throw wrong(what, wanted.name());
        }
    }

    long integer(String what) throws IOException {
        return integerHere(what, in.nextToken());
    }

    long integerHere(String what, JsonToken token) throws IOException {
        if (token == JsonToken.VALUE_NULL) {
            return 0;
        }
        if (token != JsonToken.VALUE_NUMBER_INT) {
            throw wrong(what, "a whole number");
        }
        return in.getBigIntegerValue().longValue();
    }

    int small(String what) throws IOException {
        return Math.toIntExact(integer(what));
    }

    double number(String what) throws IOException {
        JsonToken token = in.nextToken();
        if (token == JsonToken.VALUE_NULL) {
            return 0;
        }
        if (!token.isNumeric()) {
            throw wrong(what, "a number");
        }
        return in.getDoubleValue();
    }

    boolean bool(String what) throws IOException {
        JsonToken token = in.nextToken();
        if (!token.isBoolean()) {
            throw wrong(what, "true or false");
        }
        return token == JsonToken.VALUE_TRUE;
    }

    String text(String what) throws IOException {
        if (in.nextToken() != JsonToken.VALUE_STRING) {
            throw wrong(what, "a string");
        }
        return in.getText();
    }

    Map<Event.Measure, Double> pairs(String what) throws IOException {
        JsonToken token = in.nextToken();
        if (token == JsonToken.VALUE_NULL) {
            return Map.of();
        }
        if (token != JsonToken.START_OBJECT) {
            throw wrong(what, "an object of numbers");
        }
        Map<Event.Measure, Double> pairs = new EnumMap<>(Event.Measure.class);
        while (in.nextToken() != JsonToken.END_OBJECT) {
            Event.Measure measure = MEASURES.get(in.currentName());
            double value = number(what);
            if (measure != null) {
                pairs.put(measure, value);
            }
        }
        return pairs;
    }

    /** Any value: an object as a map, an array as a list, and plain values. */
    public Object any() throws IOException {
        return anyHere(in.nextToken());
    }

    private Object anyHere(JsonToken token) throws IOException {
        switch (token) {
            case START_OBJECT -> {
                Map<String, Object> map = new LinkedHashMap<>();
                while (in.nextToken() != JsonToken.END_OBJECT) {
                    map.put(in.currentName(), any());
                }
                return map;
            }
            case START_ARRAY -> {
                List<Object> list = new ArrayList<>();
                for (JsonToken t = in.nextToken(); t != JsonToken.END_ARRAY; t = in.nextToken()) {
                    list.add(anyHere(t));
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

    String name() throws IOException {
        return in.currentName();
    }

    /** Passes over values that a later version of the wire may add at the end of an array. */
    void endArray() throws IOException {
        for (JsonToken t = in.nextToken(); t != JsonToken.END_ARRAY; t = in.nextToken()) {
            if (t == null) {
                throw new MalformedBatch("the line ends within an array");
            }
            in.skipChildren();
        }
    }

    private MalformedBatch wrong(String what, String wanted) throws IOException {
        return new MalformedBatch(what + ": wanted " + wanted + ", found " + in.currentToken());
    }
}
