package puffinbarrow.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * The channel group and the timer that all links of one daemon share. A few threads serve any number of links, so
 * callbacks on them must not block.
 */
public final class Net implements AutoCloseable {
    /** Connections that may wait in the kernel to be accepted. */
    private static final int ACCEPT_BACKLOG = 1024;
    /** Pause before accepting is tried again after a failure. */
    private static final long ACCEPT_RETRY_MS = 100;

    private final AsynchronousChannelGroup group;
    private final ScheduledExecutorService timer;

    /** @param name prefix of the thread names */
    public Net(String name, int threads) throws IOException {
        group = AsynchronousChannelGroup.withFixedThreadPool(threads, daemonThreadFactory(name + "-io-"));
        timer = Executors.newSingleThreadScheduledExecutor(daemonThreadFactory(name + "-timer-"));
    }

    /** Formats an address as ADDRESS:PORT, as settings and server ids have it. */
    public static String formatAddress(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /**
     * Parses ADDRESS:PORT, the inverse of {@link #formatAddress}; throws IllegalArgumentException if the text is
     * anything else.
     */
    public static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 0) {
            throw new IllegalArgumentException("no port in " + text);
        }
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    /** Returns a factory of daemon threads, named with the prefix and a running number. */
    public static ThreadFactory daemonThreadFactory(String prefix) {
        AtomicInteger count = new AtomicInteger();
        return work -> {
            Thread thread = new Thread(work, prefix + count.incrementAndGet());
            thread.setDaemon(true);
            return thread;
        };
    }

    /** Returns the executor behind {@link #schedule}. */
    public ScheduledExecutorService timer() {
        return timer;
    }

    /** A bound server socket. */
    public static final class Listener implements AutoCloseable {
        private final AsynchronousServerSocketChannel channel;
        private final InetSocketAddress address;
        private final Runnable startAccepting;

        private Listener(AsynchronousServerSocketChannel channel, Runnable startAccepting) throws IOException {
            this.channel = channel;
            this.address = (InetSocketAddress) channel.getLocalAddress();
            this.startAccepting = startAccepting;
        }

        /** Starts to accept; to be called once. Connections made since the bind wait in the kernel's backlog. */
        public void accept() {
            startAccepting.run();
        }

        /** Returns the bound address, with the actual port. */
        public InetSocketAddress address() {
            return address;
        }

        @Override
        public void close() {
            try {
                channel.close();
            } catch (IOException ignored) {
                // The operating system frees the handle in any case.
            }
        }
    }

    /** Binds and accepts at once; {@code receivers} makes the receiver of each new connection. */
    public Listener listen(
            InetSocketAddress at, long queueBytes, Function<AsynchronousSocketChannel, Link.Receiver> receivers)
            throws IOException {
        Listener listener = bind(at, queueBytes, receivers);
        listener.accept();
        return listener;
    }

    /** Binds the address; no connection is served before {@link Listener#accept}. */
    public Listener bind(
            InetSocketAddress at, long queueBytes, Function<AsynchronousSocketChannel, Link.Receiver> receivers)
            throws IOException {
        AsynchronousServerSocketChannel server = AsynchronousServerSocketChannel.open(group);
        server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        server.bind(at, ACCEPT_BACKLOG);
        return new Listener(server, () -> accept(server, queueBytes, receivers));
    }

    private void accept(
            AsynchronousServerSocketChannel server,
            long queueBytes,
            Function<AsynchronousSocketChannel, Link.Receiver> receivers) {
        server.accept(null, new CompletionHandler<AsynchronousSocketChannel, Void>() {
            @Override
            public void completed(AsynchronousSocketChannel channel, Void none) {
                if (server.isOpen()) {
                    try {
                        server.accept(null, this);
                    } catch (RuntimeException closed) {
                        // The listener was closed between the check and the call.
                    }
                }
                noDelay(channel);
                new Link(channel, receivers.apply(channel), queueBytes).start();
            }

            @Override
            public void failed(Throwable failure, Void none) {
                // For example, no file handles are left: open connections continue, and accepting is retried later.
                if (server.isOpen()) {
                    schedule(ACCEPT_RETRY_MS, () -> accept(server, queueBytes, receivers));
                }
            }
        });
    }

    private static void noDelay(AsynchronousSocketChannel channel) {
        try {
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        } catch (IOException ignored) {
            // Only an optimization; a broken connection shows at its first read or write.
        }
    }

    /** Runs the task on the timer thread after the delay; does nothing once this is closed. */
    public void schedule(long afterMs, Runnable work) {
        if (!timer.isShutdown()) {
            try {
                timer.schedule(work, afterMs, TimeUnit.MILLISECONDS);
            } catch (RejectedExecutionException closing) {
                // The timer was shut down since the check, as this is being closed.
            }
        }
    }

    /**
     * Connects to a resolved address with a timeout in milliseconds; one of the two callbacks is called. Without the
     * timeout a host that disappeared would hold the file handle, as it never answers.
     */
    public void connect(
            InetSocketAddress to,
            Link.Receiver receiver,
            long queueBytes,
            long withinMs,
            Consumer<Link> up,
            Consumer<Throwable> failed) {
        AtomicBoolean connected = new AtomicBoolean();
        AsynchronousSocketChannel channel = connect(
                to,
                receiver,
                queueBytes,
                link -> {
                    connected.set(true);
                    up.accept(link);
                },
                failed);
        schedule(withinMs, () -> {
            if (channel != null && !connected.get()) {
                try {
                    channel.close();
                } catch (IOException ignored) {
                    // The completion handler is notified of the failure in any case.
                }
            }
        });
    }

    /**
     * Connects to a resolved address. One of the two callbacks is called: {@code up} on a thread of the group before
     * the first read, or {@code failed}. Returns the channel, or null if none could be opened.
     */
    public AsynchronousSocketChannel connect(
            InetSocketAddress to,
            Link.Receiver receiver,
            long queueBytes,
            Consumer<Link> up,
            Consumer<Throwable> failed) {
        AsynchronousSocketChannel channel;
        try {
            channel = AsynchronousSocketChannel.open(group);
        } catch (IOException | RuntimeException unopened) {
            failed.accept(unopened);
            return null;
        }
        channel.connect(to, null, new CompletionHandler<Void, Void>() {
            @Override
            public void completed(Void nothing, Void none) {
                noDelay(channel);
                Link link = new Link(channel, receiver, queueBytes);
                up.accept(link);
                link.start();
            }

            @Override
            public void failed(Throwable failure, Void none) {
                try {
                    channel.close();
                } catch (IOException ignored) {
                    // The channel was never connected.
                }
                failed.accept(failure);
            }
        });
        return channel;
    }

    @Override
    public void close() {
        timer.shutdownNow();
        try {
            group.shutdownNow();
        } catch (IOException ignored) {
            // The group's daemon threads end with the process at the latest.
        }
    }
}
