package puffinbarrow.emulator;

/** The true state of the simulated fleet, for the oracle policy; no real coordinator could have it. */
public final class TrueState {
    private final Fleet fleet;
    private double[] assignedByServer = new double[0];
    private long computedAtNs = -1;

    TrueState(Fleet fleet) {
        this.fleet = fleet;
    }

    /** Returns the capacity now, in cores of speed 1: 0 for a server that is down, paused or draining. */
    double capacity(String server) {
        Server found = fleet.server(server);
        return found == null ? 0 : found.capacity();
    }

    /** Returns the recent work of a slice, in cores of speed 1. */
    double work(int slice) {
        return fleet.clients() == null ? 0 : fleet.clients().recentSliceWork[slice] / 2e9;
    }

    /** Returns the work of all slices whose table names the server, divided evenly over the lines of each table. */
    double assigned(String server) {
        if (computedAtNs != fleet.simulation.now()) {
            computedAtNs = fleet.simulation.now();
            assignedByServer = new double[fleet.servers().size()];
            for (int slice = 0; slice < fleet.script.slices; slice++) {
                Table table = fleet.store.table(slice);
                for (Server each : table.servers) {
                    assignedByServer[each.index] += work(slice) / table.size();
                }
            }
        }
        return assignedByServer[fleet.server(server).index];
    }
}
