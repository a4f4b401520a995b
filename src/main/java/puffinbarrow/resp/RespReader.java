package puffinbarrow.resp;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;

/**
 * Incremental parser for RESP2 messages that are arrays of bulk strings; each complete message is passed to the
 * consumer. Announced lengths are not trusted: memory grows only with received bytes, up to the limit on a message. The
 * parts of an incomplete message are kept as bytes, since a string each would multiply the size of short ones.
 * Any other input throws {@link RespException}, after which the connection is to be closed. Not thread-safe: each
 * connection has its own reader, fed on that connection's network thread.
 */
public final class RespReader {
    private enum State {
        ARRAY_HEADER,
        BULK_HEADER,
        BULK,
        BULK_END
    }

    /** Longest header line: a type, a length of ten digits and CRLF, with a few bytes to spare. */
    private static final int MAX_LINE_BYTES = 16;
    /** Most parts in a message; the longest that the platform writes has about 20. */
    private static final int MAX_PARTS = 1024;
    /** Room for an ordinary message, allocated with its first bytes and kept for the next one. */
    private static final int INITIAL_CONTENT_BYTES = 256;

    private static final int INITIAL_PARTS = 24;

    private static final byte[] NO_BYTES = {};
    private static final int[] NO_PARTS = {};

    private final Consumer<List<String>> consumer;
    /** Limit on the size of a message in bytes. */
    private int limit;

    private State state = State.ARRAY_HEADER;
    private final byte[] line = new byte[MAX_LINE_BYTES];
    private int lineLength;
    /** The bulk strings of the current message, one after the other. */
    private byte[] content = NO_BYTES;

    private int contentLength;
    /** For each complete bulk string of the current message, where it ends in {@link #content}. */
    private int[] partEnds = NO_PARTS;

    private int partCount;
    /** Bytes of the current bulk string that are still to come. */
    private int bulkLeft;

    private int partsLeft;
    /** Bytes of the current message received so far. */
    private int messageBytes;

    /** Creates a reader with a limit on the size of each message in bytes. */
    public RespReader(int limit, Consumer<List<String>> consumer) {
        this.limit = limit;
        this.consumer = consumer;
    }

    /** Changes the limit on the size of a message; may be called by the consumer between messages. */
    public void limit(int bytes) {
        limit = bytes;
    }

    /**
     * Parses the next bytes of the connection, which may be split anywhere.
     *
     * @throws RespException if the input is malformed or over a limit
     */
    public void feed(ByteBuffer in) {
        while (in.hasRemaining()) {
            switch (state) {
                case ARRAY_HEADER -> {
                    if (readLine(in, '*')) {
                        beginMessage(parseLength());
                    }
                }
                case BULK_HEADER -> {
                    if (readLine(in, '$')) {
                        bulkLeft = parseLength();
                        if (bulkLeft > limit - messageBytes) {
                            throw new RespException("a message over " + limit + " bytes");
                        }
                        state = bulkLeft == 0 ? State.BULK_END : State.BULK;
                    }
                }
                case BULK -> readBulk(in);
                case BULK_END -> {
                    if (readLine(in, '\r')) {
                        lineLength = 0;
                        finishPart();
                    }
                }
            }
        }
    }

    /** Returns the size in bytes of the buffers that are held for the current message. */
    public int heldBytes() {
        return content.length + Integer.BYTES * partEnds.length;
    }

    private void beginMessage(int count) {
        if (count > MAX_PARTS) {
            throw new RespException("a message of " + count + " parts");
        }
        partsLeft = count;
        messageBytes = 0;
        state = count == 0 ? State.ARRAY_HEADER : State.BULK_HEADER;
        if (count == 0) {
            consumer.accept(List.of());
        }
    }

    private void finishPart() {
        if (partCount == partEnds.length) {
            partEnds = Arrays.copyOf(partEnds, Math.max(INITIAL_PARTS, 2 * partCount));
        }
        partEnds[partCount++] = contentLength;
        state = State.BULK_HEADER;
        if (--partsLeft == 0) {
            state = State.ARRAY_HEADER;
            consumer.accept(takeMessage());
        }
    }

    /** Returns the parts of the complete message and gives up buffers that are larger than usual. */
    private List<String> takeMessage() {
        List<String> parts = new ArrayList<>(partCount);
        int begin = 0;
        for (int i = 0; i < partCount; i++) {
            parts.add(new String(content, begin, partEnds[i] - begin, StandardCharsets.UTF_8));
            begin = partEnds[i];
        }
        content = content.length > INITIAL_CONTENT_BYTES ? NO_BYTES : content;
        partEnds = partEnds.length > INITIAL_PARTS ? NO_PARTS : partEnds;
        contentLength = 0;
        partCount = 0;
        return parts;
    }

    /**
     * Reads a header line of the given type or, with a carriage return as type, the end of a bulk string. Returns false
     * if the line is not complete yet.
     */
    private boolean readLine(ByteBuffer in, char type) {
        while (in.hasRemaining()) {
            byte b = in.get();
            if (lineLength == 0 && b != type) {
                throw new RespException(
                        "expected '" + (type == '\r' ? "the end of a string" : type) + "', found byte " + (b & 0xff));
            }
            if (lineLength == MAX_LINE_BYTES || ++messageBytes > limit) {
                throw new RespException("a header line without an end");
            }
            line[lineLength++] = b;
            if (b == '\n' && line[lineLength - 2] == '\r') {
                return true;
            }
        }
        return false;
    }

    /** Parses the number in the complete header line and clears the line. */
    private int parseLength() {
        int value = 0;
        int digits = lineLength - 3;
        for (int i = 1; i <= digits; i++) {
            if (line[i] < '0' || line[i] > '9' || digits > 9) {
                throw new RespException("a length that is none");
            }
            value = value * 10 + line[i] - '0';
        }
        if (digits == 0) {
            throw new RespException("a length without digits");
        }
        lineLength = 0;
        return value;
    }

    private void readBulk(ByteBuffer in) {
        int count = Math.min(in.remaining(), bulkLeft);
        if (content.length < contentLength + count) {
            int larger = Math.max(INITIAL_CONTENT_BYTES, Math.max(contentLength + count, 2 * content.length));
            content = Arrays.copyOf(content, larger);
        }
        in.get(content, contentLength, count);
        contentLength += count;
        messageBytes += count;
        bulkLeft -= count;
        state = bulkLeft == 0 ? State.BULK_END : State.BULK;
    }
}
