package puffinbarrow.coordinator;

import java.nio.ByteBuffer;

/** The sending side of one connection, as the core uses it. Calls never block. */
public interface FrameSink {
    /** Queues an encoded frame; returns false if the connection has ended or its queue is full. */
    boolean send(ByteBuffer bytes);

    /** Closes the connection, with a reason for the log. */
    void close(String why);

    /** Resumes reading after a full inbox stopped it. */
    default void resume() {}
}
