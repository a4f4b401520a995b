package puffinbarrow.load;

/**
 * One request that a run sends. With a request from a trace its method and path are sent, else those of the group.
 *
 * @param startNs intended start, from the run's start
 * @param group index of the group in the scenario
 * @param target index of the target in the scenario
 * @param workNs processing time that stand-in servers are asked for
 * @param request the request as recorded in a trace, or null
 */
public record Flow(long number, long startNs, int group, int target, int key, long workNs, Request request) {
    /** A request as recorded in a trace; key is null if the trace has none, or if it is the flow's numeric key. */
    public record Request(String method, String path, int bodyBytes, String key) {}
}
