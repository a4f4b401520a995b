package puffinbarrow.load;

import java.io.Closeable;
import java.io.IOException;

/** The flows of a run in the order of their intended starts. Read by one thread: the feeder's during a run. */
public interface FlowSource extends Closeable {
    /** Returns the next flow, or null at the end. */
    Flow next() throws IOException;

    @Override
    default void close() throws IOException {}
}
