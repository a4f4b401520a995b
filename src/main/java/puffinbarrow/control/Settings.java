package puffinbarrow.control;

import java.util.List;

/** The start settings a decision may read. */
public record Settings(boolean listOnRequest, boolean levelIsRate, boolean levelsHeeded, List<Group> groups,
        int slices, boolean soleOwner, double queueLimit, double linesPerS, double head, int messagesAllowed,
        long messagesSpanNs, long roundNs, long graceNs, long warmNs, double coldShare,
        double fallMultiple, boolean probes, boolean droppedStayOpen) {

    /** A traffic group: what an answer in time is worth, and by when it is in time. */
    public record Group(double utility, long budgetNs) {}
}
