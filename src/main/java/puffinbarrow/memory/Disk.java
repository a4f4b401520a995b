package puffinbarrow.memory;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/** The little of a folder that the store needs. Tests put one below it that drops, tears and reorders. */
interface Disk extends AutoCloseable {
    /** A file being written at its end. */
    interface Out extends AutoCloseable {
        /** One write; all of it or an exception, though a power cut may leave any part. */
        void write(ByteBuffer bytes) throws IOException;

        /** What was written is on the disk when this returns. */
        void force() throws IOException;

        @Override
        void close() throws IOException;
    }

    List<String> list() throws IOException;

    /** A whole file, read only. */
    ByteBuffer read(String name) throws IOException;

    Out create(String name) throws IOException;

    /** Atomic; lasting only after {@link #forceFolder}. */
    void rename(String from, String to) throws IOException;

    void delete(String name) throws IOException;

    void forceFolder() throws IOException;

    /** One owner at a time; throws if another process or store has it. */
    void lock() throws IOException;

    @Override
    void close() throws IOException;
}
