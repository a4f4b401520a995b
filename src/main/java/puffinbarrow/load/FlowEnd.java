package puffinbarrow.load;

/**
 * The outcome of a flow, handed to the listener of Engine.
 *
 * @param startNs intended start, by System.nanoTime
 * @param latencyNs from the intended start to the end
 * @param attempts number of attempts, retries included
 */
public record FlowEnd(long startNs, int group, Result.Outcome outcome, long latencyNs, int attempts) {
    /** Whether the flow was answered, within its latency budget or late. */
    public boolean answered() {
        return outcome == Result.Outcome.IN_BUDGET || outcome == Result.Outcome.LATE;
    }
}
