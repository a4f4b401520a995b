package puffinbarrow.cli;

import java.io.IOException;
import puffinbarrow.Logic;
import puffinbarrow.wire.MalformedBatch;
import puffinbarrow.wire.WireHost;

/** The command line's door. {@code wirehost} goes straight to the adapter, so that it loads nothing else. */
public final class Main {
    private Main() {}

    public static void main(String[] args) throws IOException {
        if (args.length == 1 && args[0].equals("wirehost")) {
            wirehost();
        } else {
            System.exit(Commands.run(args));
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
