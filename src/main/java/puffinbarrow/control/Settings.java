package puffinbarrow.control;

import java.util.List;

/**
 * The start settings a decision may read.
 *
 * @param proxies how many proxies join in the end, each to every coordinator; 0: not known, or dealt among them
 */
public record Settings(
        boolean listOnRequest,
        boolean levelIsRate,
        boolean levelsHeeded,
        List<Group> groups,
        int slices,
        boolean soleOwner,
        double queueLimit,
        double linesPerS,
        double head,
        int messagesAllowed,
        long messagesSpanNs,
        long roundNs,
        long graceNs,
        long warmNs,
        double coldShare,
        double fallMultiple,
        boolean probes,
        boolean droppedStayOpen,
        int proxies) {

    /** A traffic group: what an answer in time is worth, and by when it is in time. */
    public record Group(double utility, long budgetNs) {}
}
