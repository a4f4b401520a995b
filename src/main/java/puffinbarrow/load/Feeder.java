package puffinbarrow.load;

import java.io.IOException;
import java.util.concurrent.ArrayBlockingQueue;

/**
 * Reads flows from a source ahead of their start on a thread of its own and distributes them to the senders in turn.
 * Each sender's queue is bounded, so that an endless source needs no more memory than that.
 */
final class Feeder implements AutoCloseable {
    /**
     * Flows read ahead per sender: a tenth of a second at 40,000 flows/s, longer than a source pauses to read a file or
     * for a garbage collection.
     */
    private static final int QUEUE_CAPACITY = 4096;

    /** Marks the end of the flows in each queue. */
    private static final Flow END = new Flow(-1, Long.MAX_VALUE, 0, 0, 0, 0, null);

    /** The flows of one sender, which takes them on its own thread. */
    static final class SenderQueue {
        private final ArrayBlockingQueue<Flow> flows = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
        private Flow next;

        /** Returns the next flow without removing it, or null if none is read yet or none will come. */
        Flow peek() {
            if (next == null) {
                next = flows.poll();
            }
            return next == END ? null : next;
        }

        /** Removes the flow that peek returned. */
        void removeHead() {
            next = null;
        }

        /** Whether all flows were taken and the source has ended. */
        boolean exhausted() {
            return next == END;
        }
    }

    private final FlowSource source;
    private final SenderQueue[] queues;
    private final Thread thread = new Thread(this::readSource, "load-feeder");
    private volatile String failure;
    /** Whether the source has ended. */
    private volatile boolean sourceEnded;

    Feeder(FlowSource source, int senders) {
        this.source = source;
        this.queues = new SenderQueue[senders];
        for (int i = 0; i < senders; i++) {
            queues[i] = new SenderQueue();
        }
        thread.setDaemon(true);
    }

    SenderQueue queue(int sender) {
        return queues[sender];
    }

    /** Starts reading, and waits until the first queue is full or the source has ended. */
    void start() {
        thread.start();
        while (thread.isAlive() && queues[0].flows.remainingCapacity() > 0 && !sourceEnded) {
            Thread.onSpinWait();
        }
    }

    /** Returns why the source ended early, or null. */
    String failure() {
        return failure;
    }

    private void readSource() {
        try {
            try {
                int nextQueue = 0;
                for (Flow flow = source.next(); flow != null; flow = source.next()) {
                    queues[nextQueue].flows.put(flow);
                    nextQueue = nextQueue + 1 == queues.length ? 0 : nextQueue + 1;
                }
                source.close();
            } catch (IOException | RuntimeException failed) {
                failure = failed.getMessage() == null ? failed.toString() : failed.getMessage();
            }
            sourceEnded = true;
            for (SenderQueue queue : queues) {
                queue.flows.put(END);
            }
        } catch (InterruptedException closed) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        thread.interrupt();
    }
}
