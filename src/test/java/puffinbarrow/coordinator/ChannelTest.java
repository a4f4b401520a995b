package puffinbarrow.coordinator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import puffinbarrow.control.Event;
import puffinbarrow.proto.Frame;

/** The rate-limited channel to the proxies and the aggregation of their reports, both without I/O. */
class ChannelTest {
    private static final long SECOND = 1_000_000_000L;
    private static final FrameSink DISCARDING = new FrameSink() {
        @Override
        public boolean send(ByteBuffer bytes) {
            return true;
        }

        @Override
        public void close(String why) {}
    };

    private static PacedChannel.Message message(int proxy, double lines) {
        return new PacedChannel.Message(proxy, DISCARDING, ByteBuffer.allocate(0), lines, 0);
    }

    @Test
    void messagesLeaveOneAfterTheOtherAtTheConfiguredRate() {
        PacedChannel channel = new PacedChannel(1000, 100, 0, SECOND);
        channel.offer(0, message(1, 50));
        channel.offer(0, message(2, 50));
        assertNull(channel.poll(SECOND / 2 - 1));
        assertEquals(1, channel.poll(SECOND / 2).proxy());
        assertNull(channel.poll(SECOND / 2));
        assertEquals(2, channel.poll(SECOND).proxy());
        // Idle time earns no credit.
        channel.offer(10 * SECOND, message(3, 100));
        assertNull(channel.poll(11 * SECOND - 1));
        assertNotNull(channel.poll(11 * SECOND));
    }

    @Test
    void aChangeOfPaceAppliesToTheRestOfTheMessageBeingSent() {
        PacedChannel channel = new PacedChannel(1000, 100, 0, SECOND);
        channel.offer(0, message(1, 100));
        channel.setPace(SECOND / 2, 0.25);
        assertNull(channel.poll(2 * SECOND));
        assertNotNull(channel.poll(SECOND / 2 + 2 * SECOND));
    }

    @Test
    void messagesOverEitherLimitAreNotQueued() {
        PacedChannel channel = new PacedChannel(100, 1000, 2, SECOND);
        assertEquals(PacedChannel.OfferResult.QUEUED, channel.offer(0, message(1, 60)));
        assertEquals(PacedChannel.OfferResult.QUEUE_FULL, channel.offer(0, message(2, 60)));
        assertEquals(PacedChannel.OfferResult.QUEUED, channel.offer(0, message(1, 20)));
        assertEquals(PacedChannel.OfferResult.TOO_MANY_MESSAGES, channel.offer(0, message(1, 1)));
        assertEquals(80, channel.peakWaitingLines());
        // A proxy that reconnects starts with a count of 0, and messages that waited for it are discarded.
        channel.removeProxy(1);
        assertEquals(0, channel.waitingLines());
        assertEquals(PacedChannel.OfferResult.QUEUED, channel.offer(0, message(1, 60)));
    }

    private static Frame.Sums sums(long round, String server, long tries, long dropped, long tookNs) {
        return new Frame.Sums(
                1,
                round,
                SECOND,
                List.of(new Frame.Met(server, tries, dropped, tookNs, Map.of(Event.Measure.BUSY, tries / 10.0))));
    }

    /** Returns the events that the aggregator releases by that time. */
    private static List<Event> release(ReportAggregator aggregator, long now, int joined) {
        List<Event> events = new ArrayList<>();
        aggregator.release(now, joined, events);
        return events;
    }

    @Test
    void sumsOfOneRoundAreMergedByZoneAndServer() {
        ReportAggregator aggregator = new ReportAggregator(100, SECOND);
        release(aggregator, 0, 2);
        aggregator.addSums(SECOND, 1, sums(7, "a", 4, 1, 300));
        assertEquals(List.of(), release(aggregator, SECOND, 2));
        aggregator.addSums(SECOND, 2, sums(7, "a", 6, 0, 600));
        assertEquals(
                List.of(new Event.ServerSums("a", 1, SECOND, 100, 1, 10, Map.of(Event.Measure.BUSY, 0.6))),
                release(aggregator, SECOND, 2));
    }

    @Test
    void aProxyThatDoesNotReportDelaysARoundByAQuarterOfTheInterval() {
        ReportAggregator aggregator = new ReportAggregator(100, SECOND);
        aggregator.addSums(SECOND, 1, sums(7, "a", 4, 1, 300));
        assertEquals(0, release(aggregator, SECOND + SECOND / 4 - 1, 2).size());
        assertEquals(1, release(aggregator, SECOND + SECOND / 4, 2).size());
    }

    @Test
    void linesAreReleasedAtTheIntakeRateOldestFirst() {
        ReportAggregator aggregator = new ReportAggregator(10, SECOND);
        for (int i = 0; i < 30; i++) {
            aggregator.addSums(0, 1, sums(1, "s" + i, 1, 0, 1));
        }
        List<Event> events = release(aggregator, SECOND, 1);
        assertEquals(10, events.size());
        assertEquals("s0", ((Event.ServerSums) events.get(0)).server());
        assertEquals(5, release(aggregator, SECOND + SECOND / 2, 1).size());
    }

    @Test
    void linesOverTheLimitAreMergedAcrossRoundsWithoutLosingTries() {
        ReportAggregator aggregator = new ReportAggregator(1, SECOND);
        for (long round = 0; round < 1000; round++) {
            aggregator.addSums(round, 1, sums(round, "a", 2, 1, 10));
        }
        long tries = 0;
        for (int second = 1; second < 2000; second++) {
            for (Event event : release(aggregator, second * SECOND, 1)) {
                tries += ((Event.ServerSums) event).tries();
            }
        }
        assertEquals(2000, tries);
        assertEquals(0, aggregator.waitingLines());
        assertEquals(1000 - 301, aggregator.mergedLines());
    }
}
