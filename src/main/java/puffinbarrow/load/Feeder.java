package puffinbarrow.load;

import java.io.IOException;
import java.util.concurrent.ArrayBlockingQueue;

/**
 * Draws flows ahead of their time on a thread of its own and deals them out to the senders in turn. Each lane is
 * bounded: a source that never ends costs no more than that.
 */
final class Feeder implements AutoCloseable {
    /** A tenth of a second at 40,000 flows a second and sender: longer than a source pauses to read or to collect. */
    private static final int AHEAD = 4096;

    private static final Flow END = new Flow(-1, Long.MAX_VALUE, 0, 0, 0, 0, null);

    /** What one sender takes. */
    static final class Lane {
        private final ArrayBlockingQueue<Flow> ahead = new ArrayBlockingQueue<>(AHEAD);
        private Flow next;

        /** The next flow, null if none is drawn yet or none will be. */
        Flow peek() {
            if (next == null) {
                next = ahead.poll();
            }
            return next == END ? null : next;
        }

        void take() {
            next = null;
        }

        boolean over() {
            return next == END;
        }
    }

    private final Source source;
    private final Lane[] lanes;
    private final Thread thread = new Thread(this::draw, "load-feeder");
    private volatile String failure;
    private volatile boolean done;

    Feeder(Source source, int senders) {
        this.source = source;
        this.lanes = new Lane[senders];
        for (int i = 0; i < senders; i++) {
            lanes[i] = new Lane();
        }
        thread.setDaemon(true);
    }

    Lane lane(int sender) {
        return lanes[sender];
    }

    /** Begins to draw, and waits until the first lane is full or the source has ended. */
    void start() {
        thread.start();
        while (thread.isAlive() && lanes[0].ahead.remainingCapacity() > 0 && !done) {
            Thread.onSpinWait();
        }
    }

    /** Why the source ended early, or null. */
    String failure() {
        return failure;
    }

    private void draw() {
        try {
            try {
                int turn = 0;
                for (Flow flow = source.next(); flow != null; flow = source.next()) {
                    lanes[turn].ahead.put(flow);
                    turn = turn + 1 == lanes.length ? 0 : turn + 1;
                }
                source.close();
            } catch (IOException | RuntimeException wrong) {
                failure = wrong.getMessage() == null ? wrong.toString() : wrong.getMessage();
            }
            done = true;
            for (Lane lane : lanes) {
                lane.ahead.put(END);
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
