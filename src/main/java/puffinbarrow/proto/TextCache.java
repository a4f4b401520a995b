package puffinbarrow.proto;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;

/**
 * A cache of decoded texts: a text that was read before is returned as the same String without decoding it again.
 * Direct mapped: a text whose slot is taken replaces the text there, so that memory is bounded whatever a peer sends.
 */
final class TextCache {
    /** A power of two, far above the number of servers that one connection names; a collision only costs a decode. */
    private static final int SLOTS = 4096;
    /** Longer texts, in bytes, are messages rather than server ids, and are not cached. */
    private static final int MAX_CACHED_BYTES = 64;

    /** Heap of a cached text at most: the string, its array with header, its slot. */
    private static final int MAX_ENTRY_BYTES = 128;

    /** Allocated with the first text, as many connections never name a server. */
    private String[] cached;

    private int entries;

    /** Returns the most that the cache holds, in bytes. */
    int heldBytes() {
        return cached == null ? 0 : SLOTS * Integer.BYTES + entries * MAX_ENTRY_BYTES;
    }

    /** Reads a UTF-8 text of that many bytes and moves the buffer's position behind it. */
    String read(ByteBuffer in, int length) throws CharacterCodingException {
        int start = in.position();
        if (length <= MAX_CACHED_BYTES) {
            int hash = length;
            for (int i = 0; i < length; i++) {
                hash = hash * 31 + in.get(start + i);
            }
            hash ^= hash >>> 15;
            cached = cached == null ? new String[SLOTS] : cached;
            String known = cached[hash & SLOTS - 1];
            if (known != null && same(known, in, start, length)) {
                in.position(start + length);
                return known;
            }
            String read = decode(in, start, length);
            cached[hash & SLOTS - 1] = read;
            entries += known == null ? 1 : 0;
            return read;
        }
        return decode(in, start, length);
    }

    /** Returns whether the text equals the bytes; only ASCII texts ever match. */
    private static boolean same(String known, ByteBuffer in, int start, int length) {
        if (known.length() != length) {
            return false;
        }
        for (int i = 0; i < length; i++) {
            if (known.charAt(i) != in.get(start + i)) {
                return false;
            }
        }
        return true;
    }

    private static String decode(ByteBuffer in, int start, int length) throws CharacterCodingException {
        ByteBuffer part = in.duplicate();
        part.limit(start + length).position(start);
        in.position(start + length);
        return StandardCharsets.UTF_8
                .newDecoder()
                .onMalformedInput(CodingErrorAction.REPORT)
                .onUnmappableCharacter(CodingErrorAction.REPORT)
                .decode(part)
                .toString();
    }
}
