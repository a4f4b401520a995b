package puffinbarrow.platform;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import puffinbarrow.control.Settings;
import puffinbarrow.net.Net;
import puffinbarrow.wire.Facts;
import puffinbarrow.wire.Json;
import puffinbarrow.wire.MalformedBatch;

/** What a coordinator is told at its start and at each new configuration. Decoded once, here. */
record Configuration(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        InetSocketAddress relay,
        long seed,
        int sockets,
        Translation.Listing known,
        Settings settings,
        Facts.Names names) {

    /** One factory for all JSON of the process: its tables of names are shared. */
    private static final JsonFactory JSON = new JsonFactory();

    static Configuration read(byte[] text, Translation.Clock clock) throws IOException {
        Map<?, ?> all = object(json(text), "the configuration");
        Object settings = all.get("settings");
        Map<?, ?> limits = object(all.get("limits"), "limits");
        Facts.Names names = Facts.names(settings);
        return new Configuration(
                String.valueOf(all.get("name")),
                address(all.get("listen"), "listen"),
                address(all.get("discovery"), "discovery"),
                address(object(all.get("registry"), "registry").get("address"), "registry.address"),
                seed(String.valueOf(all.get("seed"))),
                limits.get("sockets") instanceof Number n ? n.intValue() : 256,
                new Translation(names, clock).listing(all.get("known")),
                Facts.settings(settings),
                names);
    }

    static Object json(byte[] text) throws IOException {
        try (JsonParser parser = JSON.createParser(text)) {
            return new Json(parser).any();
        } catch (NullPointerException | MalformedBatch ended) {
            throw new IOException("the text ends early", ended);
        }
    }

    static Map<?, ?> object(Object value, String what) {
        if (value instanceof Map<?, ?> map) {
            return map;
        }
        throw new ProtocolException(what + ": wanted an object, found " + value);
    }

    static InetSocketAddress address(Object value, String what) {
        String text = String.valueOf(value);
        try {
            return Net.address(text);
        } catch (IllegalArgumentException none) {
            throw new ProtocolException(what + ": wanted ADDRESS:PORT, found " + text);
        }
    }

    private static long seed(String text) {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException odd) {
            return text.hashCode();
        }
    }
}
