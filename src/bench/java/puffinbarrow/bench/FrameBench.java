package puffinbarrow.bench;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.openjdk.jmh.infra.Blackhole;
import puffinbarrow.control.Order;
import puffinbarrow.proto.Frame;
import puffinbarrow.proto.FrameReader;
import puffinbarrow.proto.FrameWriter;

/** Orders of 300 lines, written and read: our frames (checksum included) against Jackson CBOR (without one). */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class FrameBench {
    private final FrameWriter writer = new FrameWriter();
    private final CBORFactory cbor = new CBORFactory();
    private final ByteArrayOutputStream out = new ByteArrayOutputStream(1 << 16);
    private Frame.Orders orders;
    private ByteBuffer frame;
    private byte[] packed;
    private Frame last;
    private FrameReader reader;
    private FrameReader lineReader;

    @Setup
    public void setUp() throws IOException {
        List<Order> lines = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            lines.add(new Order.SetLine(i, "10.144.17." + i % 80 + ":8044", i % 3 == 0 ? 0.03 : 1));
        }
        orders = new Frame.Orders(17, 1_234_567_890_123L, 0, lines);
        frame = writer.bytes(orders);
        packed = packed();
        reader = new FrameReader(1 << 20, f -> last = f);
        lineReader = new FrameReader(1 << 20, f -> last = f);
    }

    private byte[] packed() throws IOException {
        out.reset();
        try (JsonGenerator to = cbor.createGenerator(out)) {
            to.writeStartArray();
            to.writeNumber(orders.turn());
            to.writeNumber(orders.orderedAtNs());
            for (Order order : orders.orders()) {
                Order.SetLine line = (Order.SetLine) order;
                to.writeNumber(line.table());
                to.writeString(line.server());
                to.writeNumber(line.weight());
            }
            to.writeEndArray();
        }
        return out.toByteArray();
    }

    @Benchmark
    public Object writeOurs() {
        return writer.write(orders);
    }

    @Benchmark
    public Object writeCbor() throws IOException {
        return packed();
    }

    @Benchmark
    public Object readOurs() {
        reader.feed(frame.duplicate());
        return last;
    }

    @Benchmark
    public void readOursWithoutRecords(Blackhole hole) {
        lineReader.lines(frame, new FrameReader.Lines() {
            @Override
            public void line(int table, String server, double weight) {
                hole.consume(table);
                hole.consume(server);
                hole.consume(weight);
            }

            @Override
            public void other(Order order) {
                hole.consume(order);
            }
        });
    }

    @Benchmark
    public Object readCbor() throws IOException {
        List<Order> lines = new ArrayList<>(300);
        try (JsonParser in = cbor.createParser(packed)) {
            in.nextToken();
            in.nextToken();
            long turn = in.getLongValue();
            in.nextToken();
            long at = in.getLongValue();
            while (in.nextToken() != JsonToken.END_ARRAY) {
                int table = in.getIntValue();
                in.nextToken();
                String server = in.getText();
                in.nextToken();
                lines.add(new Order.SetLine(table, server, in.getDoubleValue()));
            }
            return new Frame.Orders(turn, at, 0, lines);
        }
    }
}
