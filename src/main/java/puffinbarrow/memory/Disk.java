package puffinbarrow.memory;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * The operations on a directory that {@link Store} needs. Tests replace it by one that simulates power cuts, which
 * lose, tear and reorder what was not forced.
 */
interface Disk extends AutoCloseable {
    /** A file opened for appending. */
    interface Out extends AutoCloseable {
        /** Writes all bytes or throws; after a power cut any part of them may be on the disk. */
        void write(ByteBuffer bytes) throws IOException;

        /** Returns once everything written is on the disk. */
        void force() throws IOException;

        @Override
        void close() throws IOException;
    }

    /** Returns the names of all files. */
    List<String> list() throws IOException;

    /** Returns the content of a file. */
    ByteBuffer read(String name) throws IOException;

    /** Creates a file, or empties an existing one. */
    Out create(String name) throws IOException;

    /** Renames atomically, replacing {@code to}; durable only after {@link #forceFolder}. */
    void rename(String from, String to) throws IOException;

    /** Deletes a file if it exists. */
    void delete(String name) throws IOException;

    /** Returns once all names (files created, renamed and deleted) are on the disk. */
    void forceFolder() throws IOException;

    /** Locks the directory for this store; throws if another process or store holds the lock. */
    void lock() throws IOException;

    /** Releases the lock, if held. */
    @Override
    void close() throws IOException;
}
