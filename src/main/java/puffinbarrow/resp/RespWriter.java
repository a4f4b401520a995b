package puffinbarrow.resp;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Encodes messages as RESP2 arrays of bulk strings. */
public final class RespWriter {
    private RespWriter() {}

    /** Returns the encoded array of the parts, in UTF-8. */
    public static ByteBuffer array(String... parts) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(64);
        out.writeBytes(("*" + parts.length + "\r\n").getBytes(StandardCharsets.US_ASCII));
        for (String part : parts) {
            byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
            out.writeBytes(("$" + bytes.length + "\r\n").getBytes(StandardCharsets.US_ASCII));
            out.writeBytes(bytes);
            out.write('\r');
            out.write('\n');
        }
        return ByteBuffer.wrap(out.toByteArray());
    }
}
