package puffinbarrow.net;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;

/**
 * An HTTP/1.1 parser that takes whatever bytes came, keeps its place, and gives whole messages out. Heads are bounded
 * in bytes and headers in number, bodies by their stated length (chunked bodies are read too); a breach throws
 * {@link Malformed}, after which the link is closed. Not thread-safe: one for each link, fed by that link's reads.
 */
public final class HttpParser {
    /** A whole message: for a request first is the method, second the target; for an answer the code and reason. */
    public record Message(String first, String second, Map<String, String> headers, byte[] body) {
        public String header(String name) {
            return headers.getOrDefault(name, "");
        }
    }

    public static final class Malformed extends RuntimeException {
        private static final long serialVersionUID = 1;

        Malformed(String message) {
            super(message);
        }
    }

    private enum At {
        START,
        HEADER,
        BODY,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILER,
        TO_CLOSE
    }

    /** Heads of flows are a few hundred bytes; the usual limit of servers in the field. */
    private static final int HEAD_BYTES = 8192;

    private static final int HEADERS = 64;

    private final boolean requests;
    private final int bodyBytes;
    private final Consumer<Message> out;
    /** Takes bodies as they come, where an answer goes on for as long as its stream; null: they are kept whole. */
    private final Consumer<ByteBuffer> pieces;

    private At at = At.START;
    /** Grows to what lines need: thousands of idle streams must not hold 8 KB each. */
    private byte[] line = new byte[128];

    private int lineLength;
    private int headLength;
    private String first, second;
    private Map<String, String> headers = new LinkedHashMap<>();
    private byte[] body = new byte[0];
    private int bodyAt;
    private int wanted;

    public HttpParser(boolean requests, int bodyBytes, Consumer<Message> out) {
        this(requests, bodyBytes, out, null);
    }

    /** For an answer whose body has no end: its bytes go to pieces as they come, and out hears of its end alone. */
    public static HttpParser streaming(Consumer<Message> out, Consumer<ByteBuffer> pieces) {
        return new HttpParser(false, Integer.MAX_VALUE, out, pieces);
    }

    private HttpParser(boolean requests, int bodyBytes, Consumer<Message> out, Consumer<ByteBuffer> pieces) {
        this.pieces = pieces;
        this.requests = requests;
        this.bodyBytes = bodyBytes;
        this.out = out;
    }

    /** Whether the parser stands between two messages. */
    public boolean idle() {
        return at == At.START && lineLength == 0;
    }

    public void feed(ByteBuffer in) {
        while (in.hasRemaining()) {
            switch (at) {
                case BODY, CHUNK, TO_CLOSE -> takeBody(in);
                default -> {
                    String text = takeLine(in);
                    if (text != null) {
                        lineDone(text);
                    }
                }
            }
        }
    }

    /** The peer closed: a body without a stated length ends here. */
    public void closed() {
        if (at == At.TO_CLOSE) {
            emit(java.util.Arrays.copyOf(body, bodyAt));
        }
    }

    private String takeLine(ByteBuffer in) {
        while (in.hasRemaining()) {
            byte b = in.get();
            if (++headLength > HEAD_BYTES) {
                throw new Malformed("head over " + HEAD_BYTES + " bytes");
            }
            if (b == '\n') {
                int end = lineLength > 0 && line[lineLength - 1] == '\r' ? lineLength - 1 : lineLength;
                String text = new String(line, 0, end, StandardCharsets.ISO_8859_1);
                lineLength = 0;
                return text;
            }
            if (b == 0) {
                throw new Malformed("a NUL byte in the head");
            }
            if (lineLength == line.length) {
                line = java.util.Arrays.copyOf(line, Math.min(HEAD_BYTES, line.length * 2));
            }
            line[lineLength++] = b;
        }
        return null;
    }

    private void lineDone(String text) {
        switch (at) {
            case START -> {
                if (!text.isEmpty()) {
                    startLine(text);
                    at = At.HEADER;
                }
            }
            case HEADER -> {
                if (text.isEmpty()) {
                    headDone();
                } else {
                    header(text);
                }
            }
            case CHUNK_SIZE -> {
                int semicolon = text.indexOf(';');
                wanted = length((semicolon < 0 ? text : text.substring(0, semicolon)).trim(), 16);
                if (wanted + (long) bodyAt > bodyBytes) {
                    throw new Malformed("body over " + bodyBytes + " bytes");
                }
                headLength = 0;
                at = wanted == 0 ? At.TRAILER : At.CHUNK;
            }
            case CHUNK_END -> {
                if (!text.isEmpty()) {
                    throw new Malformed("chunk longer than its size");
                }
                at = At.CHUNK_SIZE;
            }
            case TRAILER -> {
                if (text.isEmpty()) {
                    emit(java.util.Arrays.copyOf(body, bodyAt));
                }
            }
            default -> throw new IllegalStateException(at.name());
        }
    }

    private void startLine(String text) {
        int a = text.indexOf(' ');
        int b = text.indexOf(' ', a + 1);
        if (a <= 0) {
            throw new Malformed("start line without parts");
        }
        if (requests) {
            if (b < 0 || !text.startsWith("HTTP/1.", b + 1)) {
                throw new Malformed("not an HTTP/1 request");
            }
            first = text.substring(0, a);
            second = text.substring(a + 1, b);
        } else {
            if (!text.startsWith("HTTP/1.")) {
                throw new Malformed("not an HTTP/1 answer");
            }
            first = b < 0 ? text.substring(a + 1) : text.substring(a + 1, b);
            second = b < 0 ? "" : text.substring(b + 1);
            if (first.length() != 3) {
                throw new Malformed("status code " + first);
            }
        }
    }

    private void header(String text) {
        int colon = text.indexOf(':');
        if (colon <= 0 || text.charAt(0) == ' ' || text.charAt(0) == '\t') {
            throw new Malformed("header without a name");
        }
        String name = text.substring(0, colon).toLowerCase(Locale.ROOT);
        String value = text.substring(colon + 1).trim();
        String before = headers.put(name, value);
        if (before != null && name.equals("content-length") && !before.equals(value)) {
            throw new Malformed("two lengths");
        }
        if (headers.size() > HEADERS) {
            throw new Malformed("over " + HEADERS + " headers");
        }
    }

    private static int length(String text, int radix) {
        try {
            int length = Integer.parseInt(text, radix);
            if (length < 0 || text.startsWith("+")) {
                throw new Malformed("length " + text);
            }
            return length;
        } catch (NumberFormatException wrong) {
            throw new Malformed("length " + text);
        }
    }

    private void headDone() {
        headLength = 0;
        String coding = headers.getOrDefault("transfer-encoding", "");
        String length = headers.get("content-length");
        if (!coding.isEmpty()) {
            if (!coding.equalsIgnoreCase("chunked") || length != null) {
                throw new Malformed("transfer-encoding " + coding);
            }
            at = At.CHUNK_SIZE;
            return;
        }
        if (length != null) {
            wanted = length(length, 10);
            if (wanted > bodyBytes) {
                throw new Malformed("body over " + bodyBytes + " bytes");
            }
            body = new byte[pieces == null ? wanted : 0];
            at = At.BODY;
            if (wanted == 0) {
                emit(body);
            }
            return;
        }
        boolean none = requests || first.startsWith("1") || first.equals("204") || first.equals("304");
        if (none) {
            emit(new byte[0]);
        } else {
            at = At.TO_CLOSE;
        }
    }

    private void takeBody(ByteBuffer in) {
        int some = at == At.TO_CLOSE ? in.remaining() : Math.min(in.remaining(), wanted);
        if (pieces != null) {
            if (!first.startsWith("2")) {
                throw new Malformed("status " + first + " " + second);
            }
            pieces.accept(in.slice(in.position(), some));
            in.position(in.position() + some);
            wanted -= some;
            bodyDone();
            return;
        }
        if (at != At.BODY) {
            if ((long) bodyAt + some > bodyBytes) {
                throw new Malformed("body over " + bodyBytes + " bytes");
            }
            if (body.length < bodyAt + some) {
                body = java.util.Arrays.copyOf(body, Math.max(bodyAt + some, body.length * 2));
            }
        }
        in.get(body, bodyAt, some);
        bodyAt += some;
        wanted -= some;
        bodyDone();
    }

    private void bodyDone() {
        if (at == At.BODY && wanted == 0) {
            emit(body);
        } else if (at == At.CHUNK && wanted == 0) {
            at = At.CHUNK_END;
        }
    }

    private void emit(byte[] whole) {
        Message message = new Message(first, second, headers, whole);
        headers = new LinkedHashMap<>();
        body = new byte[0];
        bodyAt = headLength = 0;
        at = At.START;
        out.accept(message);
    }
}
