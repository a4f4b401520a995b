package puffinbarrow.platform;

import java.io.ByteArrayOutputStream;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Reads a {@code text/event-stream} from whatever bytes came. Each event is given out with its data as a form's
 * fields; a comment, the sign of life, is an event without a name. Bounded; pure.
 */
final class EventStream {
    record News(String kind, Map<String, String> fields) {}

    static final News SIGN = new News("", Map.of());
    /** Events are some fifty bytes. */
    private static final int LINE_BYTES = 8192;

    private final Consumer<News> out;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream(128);
    private String kind = "";
    private String data = "";

    EventStream(Consumer<News> out) {
        this.out = out;
    }

    void feed(ByteBuffer in) {
        while (in.hasRemaining()) {
            byte b = in.get();
            if (b == '\n') {
                String text = line.toString(StandardCharsets.UTF_8);
                line.reset();
                lineDone(text.endsWith("\r") ? text.substring(0, text.length() - 1) : text);
            } else if (line.size() == LINE_BYTES) {
                throw new ProtocolException("news: a line over " + LINE_BYTES + " bytes");
            } else {
                line.write(b);
            }
        }
    }

    private void lineDone(String text) {
        if (text.isEmpty()) {
            if (!kind.isEmpty()) {
                out.accept(new News(kind, form(data)));
            }
            kind = data = "";
        } else if (text.startsWith(":")) {
            out.accept(SIGN);
        } else if (text.startsWith("event:")) {
            kind = text.substring(6).trim();
        } else if (text.startsWith("data:")) {
            data = text.substring(5).trim();
        }
    }

    private static Map<String, String> form(String text) {
        Map<String, String> fields = new HashMap<>();
        for (String pair : text.split("&")) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                fields.put(
                        pair.substring(0, equals),
                        URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return fields;
    }
}
