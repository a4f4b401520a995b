package puffinbarrow.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

/**
 * One TCP connection over an asynchronous channel. Received bytes are passed to the receiver on a thread of the channel
 * group, one read at a time and in order. Any thread may send; buffers are written in order from a queue that is
 * bounded in bytes. A buffer that does not fit closes the link with {@link Cause#SLOW_READER}, which bounds the
 * memory that a peer that reads nothing can cost. The receiver is notified of the end exactly once.
 */
public final class Link {
    /** Why a link ended. */
    public enum Cause {
        PEER_CLOSED,
        CLOSED_HERE,
        /** A read or write failed. */
        BROKEN,
        /** The send queue was full. */
        SLOW_READER,
        /** The receiver refused what the peer sent. */
        BAD_INPUT
    }

    /** Handles the events of a link, on threads of the channel group. */
    public interface Receiver {
        /** Called before the first read, so that a peer that never sends anything can be closed too. */
        default void opened(Link link) {}

        /** Handles the bytes of one read, all of them; the buffer is reused after the call. */
        void received(Link link, ByteBuffer bytes);

        /** Called once, when the link has ended. */
        void ended(Link link, Cause cause, String detail);
    }

    /** Largest read buffer: most orders frames of a hundred lines fit into one read. */
    private static final int MAX_READ_BYTES = 16 * 1024;
    /**
     * Initial read buffer: holds the response to one flow. A link whose reads fill it gets a larger one, so that idle
     * links stay small.
     */
    private static final int INITIAL_READ_BYTES = 1024;

    /** Heap that a queued buffer takes besides its bytes: the buffer object, the array's header, its place in the queue. */
    private static final int QUEUED_BUFFER_OVERHEAD_BYTES = 96;

    /** Buffers handed to one gathering write. */
    private static final int BUFFERS_PER_WRITE = 16;

    private final AsynchronousSocketChannel channel;
    private final Receiver receiver;
    /** The most bytes that may wait in {@link #queue}. */
    private final long queueBytes;

    private ByteBuffer in = ByteBuffer.allocate(INITIAL_READ_BYTES);
    /** Up to this size the read buffer grows. */
    private volatile int maxReadBytes = MAX_READ_BYTES;
    /** Buffers not fully written yet, oldest first; it is also the lock for the state of reading and writing. */
    private final ArrayDeque<ByteBuffer> queue = new ArrayDeque<>();
    /** Why the link ended; null while it is open. */
    private final AtomicReference<Cause> end = new AtomicReference<>();
    /** Bytes in {@link #queue}. */
    private long queued;

    /** Whether a write is under way. */
    private boolean writing;

    private boolean closeWhenSent;
    /** While true no read is started; the peer's bytes wait in the kernel. */
    private volatile boolean paused;
    /** Whether a read is due as soon as reading is resumed. */
    private boolean readPending;
    /** Whether the last read filled the buffer. */
    private boolean filled;

    /** @param queueBytes the most bytes that may wait to be written */
    public Link(AsynchronousSocketChannel channel, Receiver receiver, long queueBytes) {
        this.channel = channel;
        this.receiver = receiver;
        this.queueBytes = queueBytes;
    }

    /** Notifies the receiver that the link is open, and starts to read. */
    public void start() {
        receiver.opened(this);
        read();
    }

    /**
     * Pauses or resumes reading: backpressure while the decision inbox is full, and a way for tests and stand-ins to
     * act as a peer that does not read.
     */
    public void pauseReading(boolean on) {
        boolean resume;
        synchronized (queue) {
            paused = on;
            resume = !on && readPending;
            readPending &= on;
        }
        if (resume) {
            read();
        }
    }

    /** Sets whether the read buffer may grow; it starts small. Takes effect with the next read. */
    public void growReadBuffer(boolean on) {
        maxReadBytes = on ? MAX_READ_BYTES : INITIAL_READ_BYTES;
    }

    /** Returns the size in bytes of the buffers that the link holds. */
    public long heldBytes() {
        synchronized (queue) {
            return in.capacity() + queued + (long) QUEUED_BUFFER_OVERHEAD_BYTES * queue.size();
        }
    }

    /** Starts the next read, unless reading is paused or the link has ended. */
    private void read() {
        synchronized (queue) {
            if (paused) {
                readPending = true;
                return;
            }
        }
        if (end.get() != null) {
            return;
        }
        in.clear();
        if (filled && in.capacity() < maxReadBytes) {
            in = ByteBuffer.allocate(in.capacity() * 4);
        }
        try {
            channel.read(in, null, new CompletionHandler<Integer, Void>() {
                @Override
                public void completed(Integer count, Void none) {
                    if (count < 0) {
                        finish(Cause.PEER_CLOSED, "");
                        return;
                    }
                    filled = !in.hasRemaining();
                    in.flip();
                    try {
                        receiver.received(Link.this, in);
                    } catch (RuntimeException refused) {
                        finish(Cause.BAD_INPUT, String.valueOf(refused.getMessage()));
                        return;
                    }
                    read();
                }

                @Override
                public void failed(Throwable failure, Void none) {
                    finish(Cause.BROKEN, String.valueOf(failure.getMessage()));
                }
            });
        } catch (RuntimeException closed) {
            finish(Cause.BROKEN, String.valueOf(closed.getMessage()));
        }
    }

    /**
     * Queues the bytes, whose buffer now belongs to the link; returns false if the link has ended or the queue is
     * full.
     */
    public boolean send(ByteBuffer bytes) {
        boolean full = false;
        synchronized (queue) {
            if (end.get() != null || closeWhenSent) {
                return false;
            }
            if (queued + bytes.remaining() > queueBytes) {
                full = true;
            } else {
                queued += bytes.remaining();
                queue.addLast(bytes);
                if (writing) {
                    return true;
                }
                writing = true;
            }
        }
        if (full) {
            finish(Cause.SLOW_READER, "over " + queueBytes + " bytes waiting to be sent");
            return false;
        }
        write();
        return true;
    }

    /** Returns how many bytes wait to be written. */
    public long queuedBytes() {
        synchronized (queue) {
            return queued;
        }
    }

    /** Starts to write the oldest buffers; called by one thread at a time, see {@link #writing}. */
    private void write() {
        ByteBuffer[] batch;
        synchronized (queue) {
            batch = queue.stream().limit(BUFFERS_PER_WRITE).toArray(ByteBuffer[]::new);
        }
        try {
            channel.write(batch, 0, batch.length, 0, TimeUnit.MILLISECONDS, null, new CompletionHandler<Long, Void>() {
                @Override
                public void completed(Long count, Void none) {
                    boolean more;
                    boolean last;
                    synchronized (queue) {
                        queued -= count;
                        while (!queue.isEmpty() && !queue.peekFirst().hasRemaining()) {
                            queue.pollFirst();
                        }
                        more = !queue.isEmpty();
                        writing = more;
                        last = !more && closeWhenSent;
                    }
                    if (more) {
                        write();
                    } else if (last) {
                        finish(Cause.CLOSED_HERE, "");
                    }
                }

                @Override
                public void failed(Throwable failure, Void none) {
                    finish(Cause.BROKEN, String.valueOf(failure.getMessage()));
                }
            });
        } catch (RuntimeException closed) {
            finish(Cause.BROKEN, String.valueOf(closed.getMessage()));
        }
    }

    /** Closes at once; bytes still queued are discarded. */
    public void close() {
        finish(Cause.CLOSED_HERE, "");
    }

    /** Closes at once, with a cause and detail for the receiver. */
    public void close(Cause cause, String detail) {
        finish(cause, detail);
    }

    /** Accepts no more bytes, and closes once all queued bytes have been passed to the operating system. */
    public void closeWhenSent() {
        boolean now;
        synchronized (queue) {
            closeWhenSent = true;
            now = !writing;
        }
        if (now) {
            finish(Cause.CLOSED_HERE, "");
        }
    }

    /** Returns whether the link has ended. */
    public boolean ended() {
        return end.get() != null;
    }

    /** Ends the link; only the first call has an effect. */
    private void finish(Cause cause, String detail) {
        if (!end.compareAndSet(null, cause)) {
            return;
        }
        try {
            channel.close();
        } catch (IOException ignored) {
            // Nothing to do: the operating system frees the handle in any case.
        }
        synchronized (queue) {
            queue.clear();
            queued = 0;
        }
        receiver.ended(this, cause, detail);
    }
}
