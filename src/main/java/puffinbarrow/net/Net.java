package puffinbarrow.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Function;

/** The channel group and timer that links share. Few threads serve any number of links; none may block in them. */
public final class Net implements AutoCloseable {
    private final AsynchronousChannelGroup group;
    private final ScheduledExecutorService timer;

    public Net(String name, int threads) throws IOException {
        group = AsynchronousChannelGroup.withFixedThreadPool(threads, daemons(name + "-io-"));
        timer = Executors.newSingleThreadScheduledExecutor(daemons(name + "-timer-"));
    }

    /** As settings and ids write it. */
    public static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** The inverse of {@link #text}; an IllegalArgumentException for what is no ADDRESS:PORT. */
    public static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 0) {
            throw new IllegalArgumentException("no port in " + text);
        }
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    public static ThreadFactory daemons(String prefix) {
        AtomicInteger count = new AtomicInteger();
        return work -> {
            Thread thread = new Thread(work, prefix + count.incrementAndGet());
            thread.setDaemon(true);
            return thread;
        };
    }

    public ScheduledExecutorService timer() {
        return timer;
    }

    /** A listening socket. */
    public static final class Listener implements AutoCloseable {
        private final AsynchronousServerSocketChannel channel;
        private final InetSocketAddress address;
        private final Runnable accepting;

        private Listener(AsynchronousServerSocketChannel channel, Runnable accepting) throws IOException {
            this.channel = channel;
            this.address = (InetSocketAddress) channel.getLocalAddress();
            this.accepting = accepting;
        }

        /** Once: whoever connected since it was bound has waited in the system's queue. */
        public void accept() {
            accepting.run();
        }

        public InetSocketAddress address() {
            return address;
        }

        @Override
        public void close() {
            try {
                channel.close();
            } catch (IOException ignored) {
                // The handle is given back either way.
            }
        }
    }

    /** Listens; each stream that comes gets the receiver that is made for it. */
    public Listener listen(
            InetSocketAddress at, long queueBytes, Function<AsynchronousSocketChannel, Link.Receiver> receivers)
            throws IOException {
        Listener listener = bind(at, queueBytes, receivers);
        listener.accept();
        return listener;
    }

    /** Takes the address; nobody is answered before {@link Listener#accept}. */
    public Listener bind(
            InetSocketAddress at, long queueBytes, Function<AsynchronousSocketChannel, Link.Receiver> receivers)
            throws IOException {
        AsynchronousServerSocketChannel server = AsynchronousServerSocketChannel.open(group);
        server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        server.bind(at, 1024);
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
                        // Closed between the check and the call: no more streams are wanted.
                    }
                }
                noDelay(channel);
                new Link(channel, receivers.apply(channel), queueBytes).start();
            }

            @Override
            public void failed(Throwable failure, Void none) {
                // Out of handles, say: streams already open go on, and accepting is tried again a little later.
                if (server.isOpen()) {
                    schedule(100, () -> accept(server, queueBytes, receivers));
                }
            }
        });
    }

    private static void noDelay(AsynchronousSocketChannel channel) {
        try {
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        } catch (IOException ignored) {
            // An option only; the link shows by itself if the stream is gone.
        }
    }

    public void schedule(long afterMs, Runnable work) {
        if (!timer.isShutdown()) {
            try {
                timer.schedule(work, afterMs, TimeUnit.MILLISECONDS);
            } catch (java.util.concurrent.RejectedExecutionException closing) {
                // The timer was shut down in between: its owner is closing.
            }
        }
    }

    /** Dials and gives up after that long: a far end that vanished says nothing, and would hold the handle. */
    public void dial(
            InetSocketAddress to,
            Link.Receiver receiver,
            long queueBytes,
            long withinMs,
            Consumer<Link> up,
            Consumer<Throwable> failed) {
        AtomicBoolean connected = new AtomicBoolean();
        AsynchronousSocketChannel channel = dial(
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
                    // Its handler hears of the end either way.
                }
            }
        });
    }

    /** Dials; one of the two is called on a thread of the group. The channel is null if none could be opened. */
    public AsynchronousSocketChannel dial(
            InetSocketAddress to,
            Link.Receiver receiver,
            long queueBytes,
            Consumer<Link> up,
            Consumer<Throwable> failed) {
        AsynchronousSocketChannel channel;
        try {
            channel = AsynchronousSocketChannel.open(group);
        } catch (IOException | RuntimeException full) {
            failed.accept(full);
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
                    // Never was open.
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
            // The group's threads end with the process at the latest.
        }
    }
}
