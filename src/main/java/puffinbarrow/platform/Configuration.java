package puffinbarrow.platform;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import puffinbarrow.control.Settings;
import puffinbarrow.net.Net;
import puffinbarrow.wire.JsonReader;
import puffinbarrow.wire.MalformedInputException;
import puffinbarrow.wire.SettingsReader;

/**
 * The platform's configuration of a coordinator, decoded from its JSON file at the start and at each reload.
 *
 * @param listen where collectors connect
 * @param sockets upper limit on open sockets of the process
 * @param known the server list at the time the file was written; it may be stale
 */
record Configuration(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        InetSocketAddress relay,
        long seed,
        int sockets,
        PlatformCodec.Listing known,
        Settings settings,
        SettingsReader.Names names) {

    /** Limit on open sockets if the configuration has none. */
    private static final int DEFAULT_SOCKETS = 256;
    /** Shared by all JSON parsing of the process, so that its symbol tables are too. */
    private static final JsonFactory JSON = new JsonFactory();

    /** Parses the configuration; start times of servers are converted with the given clock offset. */
    static Configuration read(byte[] text, PlatformCodec.ClockOffset clock) throws IOException {
        Map<?, ?> all = object(json(text), "the configuration");
        Object settings = all.get("settings");
        Map<?, ?> limits = object(all.get("limits"), "limits");
        SettingsReader.Names names = SettingsReader.names(settings);
        return new Configuration(
                String.valueOf(all.get("name")),
                address(all.get("listen"), "listen"),
                address(all.get("discovery"), "discovery"),
                address(object(all.get("registry"), "registry").get("address"), "registry.address"),
                seed(String.valueOf(all.get("seed"))),
                limits.get("sockets") instanceof Number n ? n.intValue() : DEFAULT_SOCKETS,
                new PlatformCodec(names, clock).decodeListing(all.get("known")),
                SettingsReader.settings(settings),
                names);
    }

    /** Parses any JSON text into maps, lists, numbers, strings and booleans. */
    static Object json(byte[] text) throws IOException {
        try (JsonParser parser = JSON.createParser(text)) {
            return new JsonReader(parser).readAny();
        } catch (NullPointerException | MalformedInputException truncated) {
            throw new IOException("JSON text is truncated or malformed", truncated);
        }
    }

    /** Casts a JSON value to an object; {@code path} names the value in the error message. */
    static Map<?, ?> object(Object value, String path) {
        if (value instanceof Map<?, ?> map) {
            return map;
        }
        throw new ProtocolException(path + ": expected an object, found " + value);
    }

    /** Parses a JSON value as ADDRESS:PORT; {@code path} names the value in the error message. */
    static InetSocketAddress address(Object value, String path) {
        String text = String.valueOf(value);
        try {
            return Net.parseAddress(text);
        } catch (IllegalArgumentException invalid) {
            throw new ProtocolException(path + ": expected ADDRESS:PORT, found " + text);
        }
    }

    /** Parses a hexadecimal seed; any other text is hashed. */
    private static long seed(String text) {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException notHexadecimal) {
            return text.hashCode();
        }
    }
}
