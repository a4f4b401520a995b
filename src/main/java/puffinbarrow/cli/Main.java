package puffinbarrow.cli;

import java.io.IOException;
import java.nio.file.Path;
import puffinbarrow.Logic;
import puffinbarrow.platform.Service;
import puffinbarrow.wire.MalformedBatch;
import puffinbarrow.wire.WireHost;

/** The command line's door. {@code wirehost} and {@code serve} go straight to their rooms and load nothing else. */
public final class Main {
    private Main() {}

    public static void main(String[] args) throws IOException {
        if (args.length == 1 && args[0].equals("wirehost")) {
            wirehost();
        } else if (args.length == 1 && args[0].equals("serve")) {
            System.exit(serve());
        } else {
            System.exit(Commands.run(args));
        }
    }

    /** In the foreground until it is told to end; the platform says all else by the file that RELAY_CONFIG names. */
    private static int serve() {
        String file = System.getenv("RELAY_CONFIG");
        if (file == null) {
            System.err.println("puffinbarrow: serve wants RELAY_CONFIG, the configuration's file");
            return 2;
        }
        try (Service service = new Service(Path.of(file), Logic::new)) {
            Signals.on("HUP", service::reload);
            Signals.on("TERM", () -> Runtime.getRuntime().halt(0));
            return service.run() ? 1 : 0;
        } catch (IOException | RuntimeException wrong) {
            System.err.println("puffinbarrow: " + file + ": " + wrong);
            return 2;
        }
    }

    private static void wirehost() throws IOException {
        try {
            new WireHost(Logic::new).run(System.in, System.out);
        } catch (MalformedBatch malformed) {
            System.err.println("puffinbarrow: " + malformed.getMessage());
            System.exit(1);
        }
    }
}
