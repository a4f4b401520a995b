package puffinbarrow.cli;

import java.io.IOException;
import puffinbarrow.Logic;
import puffinbarrow.wire.MalformedBatch;
import puffinbarrow.wire.WireHost;

/** The command line: one subcommand for each way of running the decisions. */
public final class Main {
    private Main() {}

    public static void main(String[] args) throws IOException {
        if (args.length != 1 || !args[0].equals("wirehost")) {
            System.err.println("usage: puffinbarrow wirehost");
            System.exit(2);
        }
        try {
            new WireHost(Logic::new).run(System.in, System.out);
        } catch (MalformedBatch malformed) {
            System.err.println("puffinbarrow: " + malformed.getMessage());
            System.exit(1);
        }
    }
}
