package puffinbarrow.emulator;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/** The text of a day as one word for the command line: compressed and base64-encoded. */
public final class DayToken {
    /** Limit of a decoded text; a day of a few hundred lines is far below, so anything larger is not a valid token. */
    private static final int MAX_BYTES = 1 << 20;

    private DayToken() {}

    /** Returns the token for a text. */
    public static String of(String text) {
        Deflater deflater = new Deflater(Deflater.BEST_COMPRESSION, true);
        deflater.setInput(text.getBytes(StandardCharsets.UTF_8));
        deflater.finish();
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        byte[] buffer = new byte[4096];
        while (!deflater.finished()) {
            out.write(buffer, 0, deflater.deflate(buffer));
        }
        deflater.end();
        return Base64.getUrlEncoder().withoutPadding().encodeToString(out.toByteArray());
    }

    /** Returns the text of a token, or null if the token is not valid. */
    public static String text(String token) {
        Inflater inflater = new Inflater(true);
        try {
            inflater.setInput(Base64.getUrlDecoder().decode(token));
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            byte[] buffer = new byte[4096];
            while (!inflater.finished()) {
                int count = inflater.inflate(buffer);
                if (count == 0 && (inflater.needsInput() || inflater.needsDictionary()) || out.size() > MAX_BYTES) {
                    return null;
                }
                out.write(buffer, 0, count);
            }
            return out.toString(StandardCharsets.UTF_8);
        } catch (IllegalArgumentException | DataFormatException invalid) {
            return null;
        } finally {
            inflater.end();
        }
    }
}
