package puffinbarrow.wire;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import puffinbarrow.control.Order;

/** Writes orders in the wire format: an array of the order's name, the coordinator's number and its values. */
final class OrderWriter {
    private OrderWriter() {}

    static void write(JsonGenerator out, int instance, Order order) throws IOException {
        if (order instanceof Order.SetLine o) {
            writeArray(out, "Assign", instance, o.table(), o.server(), o.weight());
        } else if (order instanceof Order.ClearTable o) {
            writeArray(out, "DropLines", instance, o.table());
        } else if (order instanceof Order.Bind o) {
            writeArray(out, "Install", instance, o.table(), o.proxy(), o.groups());
        } else if (order instanceof Order.Mask o) {
            writeArray(out, "Mask", instance, o.server(), o.masked());
        } else if (order instanceof Order.SetLevel o) {
            writeArray(
                    out,
                    "SetLevel",
                    instance,
                    o.table(),
                    o.groups(),
                    o.level(),
                    o.retry().ordinal());
        } else if (order instanceof Order.Mark o) {
            writeArray(out, "Nonce", instance, o.everyProxy(), o.number());
        } else if (order instanceof Order.Follow o) {
            writeArray(out, "Follow", instance, o.on());
        } else if (order instanceof Order.FetchList) {
            writeArray(out, "Fetch", instance);
        } else if (order instanceof Order.WakeAt o) {
            writeArray(out, "After", instance, o.atNs(), o.label());
        } else if (order instanceof Order.Probe o) {
            writeArray(out, "SoundOut", instance, o.server());
        } else if (order instanceof Order.Tell o) {
            writeArray(out, "Share", instance, o.peer(), o.text());
        } else if (order instanceof Order.Log o) {
            writeArray(out, "WriteLog", instance, o.text());
        }
    }

    private static void writeArray(JsonGenerator out, String name, Object... values) throws IOException {
        out.writeStartArray();
        out.writeString(name);
        for (Object value : values) {
            if (value instanceof Integer i) {
                out.writeNumber(i);
            } else if (value instanceof Long l) {
                out.writeNumber(l);
            } else if (value instanceof Double d) {
                out.writeNumber(d);
            } else if (value instanceof Boolean b) {
                out.writeBoolean(b);
            } else {
                out.writeString((String) value);
            }
        }
        out.writeEndArray();
    }
}
