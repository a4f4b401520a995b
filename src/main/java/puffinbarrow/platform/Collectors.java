package puffinbarrow.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.List;
import java.util.function.Predicate;
import puffinbarrow.control.Event;
import puffinbarrow.net.Link;
import puffinbarrow.net.Net;
import puffinbarrow.resp.RespException;
import puffinbarrow.resp.RespReader;
import puffinbarrow.resp.RespWriter;

/**
 * The coordinator's own address: collectors connect, name their zone and send reports; anyone may ask for a sign of
 * life; everyone else is told {@code reject} and closed. What connects is owed an answer within three seconds and may
 * be closed after one without joining, so no stranger holds a handle for long. Runs on the channels' threads.
 */
final class Collectors {
    /** Takes a sound report; false asks its stream to stop reading until it is resumed. */
    interface Sink {
        boolean offer(Event report);

        void stopped(Runnable resume);
    }

    /** Joining and a sign of life are short; only who has joined may send long messages. */
    private static final int STRANGER_BYTES = 4096, COLLECTOR_BYTES = 1 << 20;
    /** Signs of life that are asked for and not read. */
    private static final int UNREAD_BYTES = 16 * 1024;
    /** Above the second after which a stream that hasn't joined may be closed, well under the three it is owed. */
    private static final long JOIN_NS = 1_400_000_000L;
    /** Collectors are one a zone; more are streams of former lives that have not ended yet. */
    private static final int JOINED = 32;

    private final Translation words;
    private final Sink sink;
    private final CounterRegistry counters;
    private final int most;
    private final Net net;
    /** Open streams in the order they came; both guarded by the first. */
    private final ArrayDeque<Stream> strangers = new ArrayDeque<>(), joined = new ArrayDeque<>();

    /** @param most strangers at a time: beyond, the oldest is turned away */
    Collectors(Net net, Translation words, Sink sink, CounterRegistry counters, int most) {
        this.net = net;
        this.words = words;
        this.sink = sink;
        this.counters = counters;
        this.most = most;
    }

    /** Nobody is answered before the listener accepts. */
    Net.Listener bind(InetSocketAddress at) throws IOException {
        Net.Listener listener = net.bind(at, UNREAD_BYTES, channel -> new Stream());
        net.schedule(200, this::sweep);
        return listener;
    }

    private void sweep() {
        long now = System.nanoTime();
        turnAway(stream -> now - stream.openedAt > JOIN_NS, "not joined in time");
        net.schedule(200, this::sweep);
    }

    /** Turns away the oldest strangers for as long as they are such. */
    private void turnAway(Predicate<Stream> which, String why) {
        while (true) {
            Stream oldest;
            synchronized (strangers) {
                oldest = strangers.peekFirst();
                if (oldest == null || !which.test(oldest)) {
                    return;
                }
                strangers.pollFirst();
            }
            oldest.reject(why);
        }
    }

    private final class Stream implements Link.Receiver {
        private final RespReader reader = new RespReader(STRANGER_BYTES, this::message);
        private final long openedAt = System.nanoTime();
        private volatile Link link;
        private boolean isJoined;
        private boolean full;
        private volatile boolean over;

        Stream() {
            synchronized (strangers) {
                strangers.addLast(this);
            }
            turnAway(stream -> strangers.size() > most, "too many strangers");
        }

        @Override
        public void opened(Link fresh) {
            link = fresh;
            if (over) {
                fresh.close();
            }
        }

        @Override
        public void received(Link from, ByteBuffer bytes) {
            if (over) {
                return;
            }
            try {
                reader.feed(bytes);
            } catch (RespException wrong) {
                counters.note("streams.unreadable", wrong.getMessage());
                reject(wrong.getMessage());
            }
            if (full && !over) {
                full = false;
                from.pauseReading(true);
                sink.stopped(() -> from.pauseReading(false));
            }
        }

        private void message(List<String> message) {
            if (over) {
                return;
            }
            String kind = message.isEmpty() ? "" : message.get(0);
            if (kind.equals("hb")) {
                counters.count("signs_of_life");
                link.send(RespWriter.array("hb_ok"));
            } else if (isJoined) {
                try {
                    full |= !sink.offer(words.report(message));
                } catch (ProtocolException spoilt) {
                    // The messages around it are sound, so the stream goes on.
                    counters.note(
                            "reports.refused", spoilt.getMessage() + " in " + Translation.brief(message.toString()));
                }
            } else if (kind.equals("telemetry")) {
                join(message);
            } else {
                counters.note("streams.rejected", "first message " + Translation.brief(message.toString()));
                reject("a stranger may say hb or telemetry");
            }
        }

        private void join(List<String> message) {
            try {
                words.zone(Translation.fields(message));
            } catch (ProtocolException wrong) {
                counters.note("streams.rejected", wrong.getMessage());
                reject(wrong.getMessage());
                return;
            }
            isJoined = true;
            reader.limit(COLLECTOR_BYTES);
            Stream oldest = null;
            synchronized (strangers) {
                strangers.remove(this);
                joined.addLast(this);
                if (joined.size() > JOINED) {
                    oldest = joined.pollFirst();
                }
            }
            counters.count("collectors.joined");
            if (oldest != null) {
                oldest.link.close();
            }
        }

        private void reject(String why) {
            over = true;
            counters.count("streams.turned_away");
            Link open = link;
            if (open != null) {
                open.send(RespWriter.array("reject", "why", why));
                open.closeWhenSent();
            }
        }

        @Override
        public void ended(Link from, Link.Cause cause, String detail) {
            synchronized (strangers) {
                strangers.remove(this);
                joined.remove(this);
            }
        }
    }
}
