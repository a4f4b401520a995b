package puffinbarrow.wire;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import puffinbarrow.control.Order;

/** Writes orders under the wire's names. */
final class Orders {
    private Orders() {}

    static void write(JsonGenerator out, int who, Order order) throws IOException {
        if (order instanceof Order.SetLine o) {
            array(out, "Assign", who, o.table(), o.server(), o.weight());
        } else if (order instanceof Order.ClearTable o) {
            array(out, "DropLines", who, o.table());
        } else if (order instanceof Order.Bind o) {
            array(out, "Install", who, o.table(), o.proxy(), o.groups());
        } else if (order instanceof Order.Mask o) {
            array(out, "Mask", who, o.server(), o.out());
        } else if (order instanceof Order.SetLevel o) {
            array(
                    out,
                    "SetLevel",
                    who,
                    o.table(),
                    o.groups(),
                    o.level(),
                    o.retry().ordinal());
        } else if (order instanceof Order.Mark o) {
            array(out, "Nonce", who, o.everyProxy(), o.number());
        } else if (order instanceof Order.Follow o) {
            array(out, "Follow", who, o.on());
        } else if (order instanceof Order.FetchList) {
            array(out, "Fetch", who);
        } else if (order instanceof Order.WakeAt o) {
            array(out, "After", who, o.atNs(), o.label());
        } else if (order instanceof Order.Probe o) {
            array(out, "SoundOut", who, o.server());
        } else if (order instanceof Order.Tell o) {
            array(out, "Share", who, o.peer(), o.text());
        } else if (order instanceof Order.Log o) {
            array(out, "WriteLog", who, o.text());
        }
    }

    private static void array(JsonGenerator out, String name, Object... values) throws IOException {
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
