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
        // Before anything else: the machine's own answer to either would end the process as if it had failed.
        Signals.on("TERM", () -> Runtime.getRuntime().halt(0));
        Reloads reloads = new Reloads();
        if (!Signals.on("HUP", reloads::signalled)) {
            System.out.println("signals.ignored HUP: started with it ignored; new configurations wait for a restart");
        }
        try (Service service = new Service(Path.of(file), Logic::new)) {
            reloads.goTo(service);
            return service.run() ? 1 : 0;
        } catch (IOException | RuntimeException wrong) {
            System.err.println("puffinbarrow: " + file + ": " + wrong);
            return 2;
        }
    }

    /** Signals to read the configuration again; one that comes before the service stands is kept for it. */
    private static final class Reloads {
        private Service service;
        private boolean missed;

        synchronized void signalled() {
            if (service == null) {
                missed = true;
            } else {
                service.reload();
            }
        }

        synchronized void goTo(Service up) {
            service = up;
            if (missed) {
                up.reload();
            }
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
