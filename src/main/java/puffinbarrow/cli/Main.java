package puffinbarrow.cli;

import java.io.IOException;
import java.nio.file.Path;
import puffinbarrow.Logic;
import puffinbarrow.platform.Service;
import puffinbarrow.wire.MalformedInputException;
import puffinbarrow.wire.WireHost;

/**
 * Entry point of the program. {@code wirehost} and {@code serve} are handled here, without loading the command-line
 * library; everything else goes to {@link Commands}.
 */
public final class Main {
    private Main() {}

    /** Runs the command that the arguments name and exits with its code. */
    public static void main(String[] args) throws IOException {
        if (args.length == 1 && args[0].equals("wirehost")) {
            wirehost();
        } else if (args.length == 1 && args[0].equals("serve")) {
            System.exit(serve());
        } else {
            System.exit(Commands.run(args));
        }
    }

    /**
     * Runs the service in the foreground until it is signalled to end, with the configuration file that the environment
     * variable RELAY_CONFIG names. Returns the exit code.
     */
    private static int serve() {
        String file = System.getenv("RELAY_CONFIG");
        if (file == null) {
            System.err.println("puffinbarrow: serve needs the path of its configuration file in RELAY_CONFIG");
            return 2;
        }
        // Installed before anything else: by default the JVM ends with a failure code on either signal.
        Signals.on("TERM", () -> Runtime.getRuntime().halt(0));
        Reloads reloads = new Reloads();
        if (!Signals.on("HUP", reloads::request)) {
            System.out.println(
                    "signals.ignored HUP: ignored since the start of the process; a new configuration needs a restart");
        }
        try (Service service = new Service(Path.of(file), Logic::new)) {
            reloads.attach(service);
            return service.run() ? 1 : 0;
        } catch (IOException | RuntimeException e) {
            System.err.println("puffinbarrow: " + file + ": " + e);
            return 2;
        }
    }

    /** Passes requests to reload the configuration to the service; one from before its start is kept until then. */
    private static final class Reloads {
        private Service service;
        private boolean pending;

        synchronized void request() {
            if (service == null) {
                pending = true;
            } else {
                service.reload();
            }
        }

        synchronized void attach(Service started) {
            service = started;
            if (pending) {
                started.reload();
            }
        }
    }

    /** Hosts the decision logic on standard input and output. */
    private static void wirehost() throws IOException {
        try {
            new WireHost(Logic::new).run(System.in, System.out);
        } catch (MalformedInputException malformed) {
            System.err.println("puffinbarrow: " + malformed.getMessage());
            System.exit(1);
        }
    }
}
