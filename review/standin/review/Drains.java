package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** whk-placements: six in ten backends are replaced within 7 s; nothing else happens. */
final class Drains {
    /** When the replacing starts, in seconds of the run. */
    private static final double START_S = 2;

    private Drains() {}

    public static void main(String[] args) {
        Case.run(Path.of(args[0]), Path.of(args[1]), Case::whk, 1, world -> {
            List<Backend> old = new ArrayList<>(world.backends.values());
            int replaced = Case.TROUBLE ? (int) (0.6 * world.servers) : 0;
            for (int i = 0; i < replaced; i++) {
                Case.until(world, START_S + 7.0 * i / replaced);
                Backend leaving = old.get(i);
                world.discovery.list(leaving, "DRAINING");
                // It finishes what it has, and ends some seconds later; its successor starts cold under a new id.
                World.after(5000, () -> {
                    world.discovery.list(leaving, "DELETED");
                    leaving.die();
                });
                World.after(1500, () -> {
                    try {
                        world.addBackend(leaving.zone, System.currentTimeMillis());
                    } catch (IOException failure) {
                        throw new IllegalStateException(failure);
                    }
                });
            }
            Case.until(world, START_S + 25);
            return world.judge.drainBreaches > 0;
        });
    }
}
