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

/**
 * Measures writing and reading a frame of 300 orders: the project's frames, with checksum, against Jackson CBOR without
 * one.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class FrameBench {
    private final FrameWriter writer = new FrameWriter();
    private final CBORFactory cborFactory = new CBORFactory();
    private final ByteArrayOutputStream out = new ByteArrayOutputStream(1 << 16);
    private Frame.Orders orders;
    private ByteBuffer frame;
    private byte[] encoded;
    private Frame lastFrame;
    private FrameReader reader;
    private FrameReader lineReader;

    @Setup
    public void setUp() throws IOException {
        List<Order> lines = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            lines.add(new Order.SetLine(i, "10.144.17." + i % 80 + ":8044", i % 3 == 0 ? 0.03 : 1));
        }
        orders = new Frame.Orders(17, 1_234_567_890_123L, 0, lines);
        frame = writer.encodeCopy(orders);
        encoded = encodeCbor();
        reader = new FrameReader(1 << 20, f -> lastFrame = f);
        lineReader = new FrameReader(1 << 20, f -> lastFrame = f);
    }

    /** Encodes the orders as CBOR. */
    private byte[] encodeCbor() throws IOException {
        out.reset();
        try (JsonGenerator generator = cborFactory.createGenerator(out)) {
            generator.writeStartArray();
            generator.writeNumber(orders.turn());
            generator.writeNumber(orders.orderedAtNs());
            for (Order order : orders.orders()) {
                Order.SetLine line = (Order.SetLine) order;
                generator.writeNumber(line.table());
                generator.writeString(line.server());
                generator.writeNumber(line.weight());
            }
            generator.writeEndArray();
        }
        return out.toByteArray();
    }

    @Benchmark
    public Object writeOurs() {
        return writer.write(orders);
    }

    @Benchmark
    public Object writeCbor() throws IOException {
        return encodeCbor();
    }

    @Benchmark
    public Object readOurs() {
        reader.feed(frame.duplicate());
        return lastFrame;
    }

    @Benchmark
    public void readOursWithoutRecords(Blackhole blackhole) {
        lineReader.visitOrders(frame, new FrameReader.OrderVisitor() {
            @Override
            public void line(int table, String server, double weight) {
                blackhole.consume(table);
                blackhole.consume(server);
                blackhole.consume(weight);
            }

            @Override
            public void other(Order order) {
                blackhole.consume(order);
            }
        });
    }

    @Benchmark
    public Object readCbor() throws IOException {
        List<Order> lines = new ArrayList<>(300);
        try (JsonParser in = cborFactory.createParser(encoded)) {
            in.nextToken();
            in.nextToken();
            long turn = in.getLongValue();
            in.nextToken();
            long orderedAtNs = in.getLongValue();
            while (in.nextToken() != JsonToken.END_ARRAY) {
                int table = in.getIntValue();
                in.nextToken();
                String server = in.getText();
                in.nextToken();
                lines.add(new Order.SetLine(table, server, in.getDoubleValue()));
            }
            return new Frame.Orders(turn, orderedAtNs, 0, lines);
        }
    }
}
