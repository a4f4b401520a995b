package puffinbarrow.emulator;

/** The state as it is, for a policy that is told of it; no real coordinator can be. */
public final class Truth {
    private final Fleet fleet;
    private double[] assigned = new double[0];
    private long assignedAt = -1;

    Truth(Fleet fleet) {
        this.fleet = fleet;
    }

    /** In cores of speed 1, now: 0 for one that is down, stands still or drains. */
    double capacity(String server) {
        Server of = fleet.server(server);
        return of == null ? 0 : of.capacity();
    }

    /** Work asked for a slice of late, in cores of speed 1. */
    double work(int slice) {
        return fleet.clients() == null ? 0 : fleet.clients().sliceWork[slice] / 2e9;
    }

    /** Work of all slices whose table names the server, shared by their lines. */
    double assigned(String server) {
        if (assignedAt != fleet.world.now()) {
            assignedAt = fleet.world.now();
            assigned = new double[fleet.servers().size()];
            for (int slice = 0; slice < fleet.script.slices; slice++) {
                Table table = fleet.store.table(slice);
                for (Server each : table.servers) {
                    assigned[each.index] += work(slice) / table.size();
                }
            }
        }
        return assigned[fleet.server(server).index];
    }
}
