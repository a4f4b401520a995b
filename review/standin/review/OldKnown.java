package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * bystrica-returns, two coordinators: one is killed; while it is away, six in ten backends are replaced; it starts
 * again with the list that it last had, and discovery, which has many callers, takes a while for its first call.
 */
final class OldKnown {
    /** How long discovery takes for a call when it has many callers; it fails one after 2 s. */
    private static final int BUSY_CALL_MS = 1500;

    private OldKnown() {}

    public static void main(String[] args) {
        Case.run(Path.of(args[0]), Path.of(args[1]), Case::bystrica, 2, world -> {
            Coordinator first = world.coordinators.get(0);
            List<Backend> all = new ArrayList<>(world.backends.values());
            Case.until(world, 12);
            String known = world.discovery.known();
            if (Case.trouble("kill")) {
                first.stop(false);
                World.after(2000, () -> giveHalf(world, 1));
            }
            int replaced = Case.trouble("replace") ? (int) (0.6 * world.servers) : 0;
            for (int i = 0; i < replaced; i++) {
                Case.until(world, 12.5 + 7.0 * i / replaced);
                Backend leaving = all.get(i);
                world.discovery.list(leaving, "DRAINING");
                world.addBackend(leaving.zone, System.currentTimeMillis());
                World.after(3000, () -> {
                    world.discovery.list(leaving, "DELETED");
                    leaving.die();
                });
            }
            Case.until(world, 26);
            long back = world.nowMs();
            if (Case.trouble("busy")) {
                world.discoveryCallMs = BUSY_CALL_MS;
            }
            if (Case.trouble("kill")) {
                World.thread("store", () -> {
                    while (first.relay.streamCount() == 0) {
                        World.sleep(5);
                    }
                    giveHalf(world, 0);
                });
                first.start(known);
            }
            // A few rounds of sums.
            Case.until(world, back / 1000.0 + 10);
            synchronized (world) {
                world.say("withdrawn by n0 in its first 5 s, though running and listed SERVING: "
                        + first.relay.withdrawnLive(back, back + 5000));
                world.say("flows of n0's slices lost at backends that were gone, whose slice stood on a running backend: "
                        + world.judge.lostByMoves);
            }
            return world.judge.lostByMoves > 0;
        });
    }

    private static void giveHalf(World world, int to) {
        synchronized (world) {
            for (int slice = 0; slice < world.sliceCount; slice += 2) {
                world.give(slice, to);
            }
        }
    }
}
