package puffinbarrow.coordinator;

import java.util.HashSet;
import java.util.Set;
import puffinbarrow.config.CoordinatorConfig;

/**
 * Decides which servers, zones, slices and traffic groups reports may be about, so that a proxy that makes up new ones
 * cannot fill the memory of the coordinator. Servers that the list or a stored line has named are known and accepted for
 * good; of others a few are accepted, as a proxy may hear of a new server first. Used by {@link CoordinatorCore} on the
 * decision thread.
 */
final class ReportSubjects {
    /** Servers accepted that neither the list nor a stored line has named. */
    private static final int MAX_UNKNOWN_SERVERS = 100;

    private static final int MAX_ZONES = 64;

    private final int slices;
    private final Set<String> knownServers = new HashSet<>();
    private final Set<String> unknownServers = new HashSet<>();

    /** @param slices number of slices; 0: traffic is not divided into slices */
    ReportSubjects(int slices) {
        this.slices = slices;
    }

    /** Records that the list or a stored line names a server. */
    void addKnownServer(String server) {
        knownServers.add(server);
        unknownServers.remove(server);
    }

    /** Returns whether sums about this server, measured from this zone, are accepted. */
    boolean acceptsSums(int zone, String server) {
        return zone >= 0
                && zone < MAX_ZONES
                && (knownServers.contains(server)
                        || unknownServers.contains(server)
                        || unknownServers.size() < MAX_UNKNOWN_SERVERS && unknownServers.add(server));
    }

    /** Returns whether demand for this slice and traffic group is accepted; without slices, the slice is not read. */
    boolean acceptsDemand(int slice, int group) {
        return group >= 0 && group < CoordinatorConfig.MAX_GROUPS && (slices == 0 || slice >= 0 && slice < slices);
    }
}
