package puffinbarrow.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.ArrayDeque;
import java.util.concurrent.atomic.AtomicReference;

/**
 * One stream over an asynchronous channel. Reads are handed to the receiver on a thread of the channel group, one
 * at a time and in order; writes may come from any thread, are sent in order, and wait in a queue that is bounded in
 * bytes: a write that does not fit closes the link with {@link Cause#SLOW_READER}, since a peer that reads
 * nothing must cost its sender no more than that. The receiver hears of the end exactly once.
 */
public final class Link {
    /** Why a link ended. */
    public enum Cause {
        PEER_CLOSED,
        CLOSED_HERE,
        BROKEN,
        SLOW_READER,
        BAD_INPUT
    }

    /** Takes what came. The buffer is read up to its limit and is not kept. */
    public interface Receiver {
        /** Before anything is read: a peer that never says a word can be closed too. */
        default void opened(Link link) {}

        void received(Link link, ByteBuffer bytes);

        void ended(Link link, Cause cause, String detail);
    }

    /** Large enough for most turns of a hundred lines in one read. */
    private static final int READ_BYTES = 16 * 1024;
    /** An answer of a flow; a link that carries more grows its buffer, so that idle ones stay small. */
    private static final int FIRST_READ_BYTES = 1024;

    private final AsynchronousSocketChannel channel;
    private final Receiver receiver;
    private final long queueBytes;
    private ByteBuffer in = ByteBuffer.allocate(FIRST_READ_BYTES);
    private final ArrayDeque<ByteBuffer> queue = new ArrayDeque<>();
    private final AtomicReference<Cause> end = new AtomicReference<>();
    private long queued;
    private boolean writing;
    private boolean closeWhenSent;
    /** While true nothing more is read; the peer's bytes wait in the kernel. */
    private volatile boolean paused;

    private boolean readPending;
    /** Whether the last read took all the room there was. */
    private boolean filled;

    public Link(AsynchronousSocketChannel channel, Receiver receiver, long queueBytes) {
        this.channel = channel;
        this.receiver = receiver;
        this.queueBytes = queueBytes;
    }

    public void start() {
        receiver.opened(this);
        read();
    }

    /** Stops or resumes reading: how tests and stand-ins play a peer that reads nothing. */
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
        if (filled && in.capacity() < READ_BYTES) {
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
                    } catch (RuntimeException wrong) {
                        finish(Cause.BAD_INPUT, String.valueOf(wrong.getMessage()));
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

    /** Queues the bytes, which the caller gives away; false if the link has ended or the queue was full. */
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
            finish(Cause.SLOW_READER, "over " + queueBytes + " bytes unread");
            return false;
        }
        write();
        return true;
    }

    public long queuedBytes() {
        synchronized (queue) {
            return queued;
        }
    }

    private void write() {
        ByteBuffer[] some;
        synchronized (queue) {
            some = queue.stream().limit(16).toArray(ByteBuffer[]::new);
        }
        try {
            channel.write(
                    some,
                    0,
                    some.length,
                    0,
                    java.util.concurrent.TimeUnit.MILLISECONDS,
                    null,
                    new CompletionHandler<Long, Void>() {
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

    /** Closes at once; what waits is lost. */
    public void close() {
        finish(Cause.CLOSED_HERE, "");
    }

    /** Closes for a stated cause, which the receiver hears. */
    public void close(Cause cause, String detail) {
        finish(cause, detail);
    }

    /** Closes once all that is queued has been handed to the system. */
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

    public boolean ended() {
        return end.get() != null;
    }

    private void finish(Cause cause, String detail) {
        if (!end.compareAndSet(null, cause)) {
            return;
        }
        try {
            channel.close();
        } catch (IOException ignored) {
            // Nothing to mend: the system gives the handle back either way.
        }
        synchronized (queue) {
            queue.clear();
            queued = 0;
        }
        receiver.ended(this, cause, detail);
    }
}
