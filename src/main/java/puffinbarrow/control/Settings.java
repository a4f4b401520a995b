package puffinbarrow.control;

import java.util.List;

/** The start settings a decision may read. */
public record Settings(int me, int coordinators, boolean listOnRequest, boolean probesAllowed,
        boolean levelIsRate, boolean levelsHeeded, List<Group> groups,
        int slices, boolean soleOwner, int proxies, double linesPerS, double queueLimit, double head,
        int messagesAllowed, long messagesSpanNs, long bareNs, long roundNs, long transitMaxNs,
        long graceNs, long warmNs, double coldShare, double fallMultiple, long askWithinNs) {

    public enum Repeat { RETRIABLE, DEDUPED, NON_RETRIABLE }

    /** A traffic group; {@code dedupedEverywhere}: all servers discard repeats of one of its flows. */
    public record Group(Repeat repeat, boolean dedupedEverywhere, long dedupeNs, long expiryNs,
            double utility, long budgetNs) {}
}
