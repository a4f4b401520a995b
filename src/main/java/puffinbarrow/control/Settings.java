package puffinbarrow.control;

import java.util.List;

/**
 * The settings that decisions may read; they do not change while a coordinator runs.
 *
 * @param listOnRequest whether the server list has to be followed by an order; otherwise it is pushed
 * @param levelIsRate whether the level of {@link Order.SetLevel} is in flows per second; otherwise it is a share
 * @param levelsApplied whether proxies apply levels at all
 * @param groups traffic groups, by number
 * @param slices number of slices; 0: traffic is not divided into slices
 * @param soleOwner whether a slice may have only one server at a time
 * @param queueLimitLines lines that may wait in the channel to the proxies
 * @param linesPerS lines per second that the channel sends
 * @param messageOverheadLines size of a message besides its lines, in lines
 * @param messagesAllowed messages to one proxy allowed within {@code messagesSpanNs}; 0: no limit
 * @param messagesSpanNs span over which messages are counted
 * @param roundNs period of the sums
 * @param graceNs time within which proxies must have stopped sending to a server that left
 * @param warmUpNs time a server needs to warm up after its start
 * @param coldShare share of its full capacity that a server has at its start, 0 to 1
 * @param fallMultiple multiple of its present capacity at which a server collapses
 * @param probes whether servers may be probed
 * @param keepsDelisted whether servers that the list drops may stay in use
 * @param expectedProxies how many proxies eventually join, each to every coordinator; 0: not known, or divided among
 *     them
 */
public record Settings(
        boolean listOnRequest,
        boolean levelIsRate,
        boolean levelsApplied,
        List<Group> groups,
        int slices,
        boolean soleOwner,
        double queueLimitLines,
        double linesPerS,
        double messageOverheadLines,
        int messagesAllowed,
        long messagesSpanNs,
        long roundNs,
        long graceNs,
        long warmUpNs,
        double coldShare,
        double fallMultiple,
        boolean probes,
        boolean keepsDelisted,
        int expectedProxies) {

    /**
     * A traffic group.
     *
     * @param utility value of a flow delivered within the latency budget
     * @param budgetNs latency budget
     */
    public record Group(double utility, long budgetNs) {}
}
