package puffinbarrow.coordinator;

import java.nio.ByteBuffer;

/** Where the core sends to: one stream. Calls never block; a stream that is gone says so with false. */
public interface Outlet {
    boolean send(ByteBuffer bytes);

    void close(String why);

    /** Takes up reading again, if a full inbox had stopped it. */
    default void resume() {}
}
