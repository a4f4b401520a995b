package puffinbarrow.platform;

import java.io.ByteArrayOutputStream;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Incremental parser for a {@code text/event-stream} body. The data of an event is decoded as a URL-encoded form. A
 * comment line serves as keep-alive and is reported as {@link #KEEP_ALIVE}. The line length is bounded. Does no I/O;
 * not thread-safe.
 */
final class ServerSentEventParser {
    /** One event of the stream; the type is empty for a keep-alive. */
    record ServerSentEvent(String type, Map<String, String> fields) {}

    static final ServerSentEvent KEEP_ALIVE = new ServerSentEvent("", Map.of());
    /** Longest accepted line; events of the relay have about 50 bytes. */
    private static final int MAX_LINE_BYTES = 8192;

    private final Consumer<ServerSentEvent> consumer;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream(128);
    private String type = "";
    private String data = "";

    ServerSentEventParser(Consumer<ServerSentEvent> consumer) {
        this.consumer = consumer;
    }

    /**
     * Parses the next bytes of the stream, which may be split anywhere.
     *
     * @throws ProtocolException if a line is longer than {@link #MAX_LINE_BYTES}
     */
    void feed(ByteBuffer in) {
        while (in.hasRemaining()) {
            byte b = in.get();
            if (b == '\n') {
                String text = line.toString(StandardCharsets.UTF_8);
                line.reset();
                parseLine(text.endsWith("\r") ? text.substring(0, text.length() - 1) : text);
            } else if (line.size() == MAX_LINE_BYTES) {
                throw new ProtocolException("relay event stream: line longer than " + MAX_LINE_BYTES + " bytes");
            } else {
                line.write(b);
            }
        }
    }

    private void parseLine(String text) {
        if (text.isEmpty()) {
            if (!type.isEmpty()) {
                consumer.accept(new ServerSentEvent(type, decodeForm(data)));
            }
            type = data = "";
        } else if (text.startsWith(":")) {
            consumer.accept(KEEP_ALIVE);
        } else if (text.startsWith("event:")) {
            type = text.substring(6).trim();
        } else if (text.startsWith("data:")) {
            data = text.substring(5).trim();
        }
    }

    private static Map<String, String> decodeForm(String text) {
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
