package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * bystrica-returns: half of the backends are replaced in steps while the coordinator is restarted once, as planned; on
 * the same day a quarter of the backends die at once and come back cold. They are away when the coordinator restarts.
 */
final class StaleWithdrawals {
    private StaleWithdrawals() {}

    public static void main(String[] args) {
        boolean crash = Case.trouble("crash");
        boolean restart = Case.trouble("restart");
        boolean roll = Case.trouble("roll");
        Case.run(Path.of(args[0]), Path.of(args[1]), Case::bystrica, 1, world -> {
            Coordinator coordinator = world.coordinators.get(0);
            List<Backend> all = new ArrayList<>(world.backends.values());
            List<Backend> down = new ArrayList<>();
            for (int i = 0; i < world.servers / 4; i++) {
                down.add(all.get(4 * i + 1));
            }
            List<Backend> others = new ArrayList<>(all);
            others.removeAll(down);
            Case.until(world, 6);
            if (crash) {
                down.forEach(Backend::die);
                World.after(1000, () -> down.forEach(backend -> world.discovery.list(backend, "DELETED")));
                World.after(9000, () -> {
                    for (Backend backend : down) {
                        try {
                            backend.comeBack();
                        } catch (IOException failure) {
                            throw new IllegalStateException(failure);
                        }
                    }
                });
                World.after(10_000, () -> down.forEach(backend -> world.discovery.list(backend, "SERVING")));
            }
            Case.until(world, 10);
            if (restart) {
                String known = world.discovery.known();
                coordinator.stop(true);
                coordinator.start(known);
            }
            int steps = world.servers / 2;
            for (int step = 0; step < steps && roll; step++) {
                Case.until(world, 13 + 35.0 * step / (steps - 1));
                Backend leaving = others.get(step);
                world.discovery.list(leaving, "DRAINING");
                World.after(5000, () -> {
                    world.discovery.list(leaving, "DELETED");
                    leaving.die();
                    try {
                        world.addBackend(leaving.zone, System.currentTimeMillis());
                    } catch (IOException failure) {
                        throw new IllegalStateException(failure);
                    }
                });
            }
            Case.until(world, 90);
            for (Proxy proxy : world.proxies) {
                synchronized (world) {
                    List<String> serving = new ArrayList<>(proxy.withdrawals(0));
                    serving.removeIf(id -> !world.backends.get(id).listed.equals("SERVING"));
                    world.say("proxy " + proxy.id + " holds withdrawals of backends listed SERVING: " + serving);
                }
            }
            return world.judge.emptyPairs() > 0;
        });
    }
}
