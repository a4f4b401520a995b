package puffinbarrow.bench;

import org.openjdk.jmh.profile.GCProfiler;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import puffinbarrow.memory.MemoryBench;

/**
 * Runs the benchmarks named on the command line: frames and turn with JMH, spread and streams over sockets, memory on
 * disk. Compare ratios of their results, as wall times depend on the machine.
 */
public final class Bench {
    private Bench() {}

    public static void main(String[] args) throws Exception {
        for (String name : args) {
            switch (name) {
                case "frames", "turn" -> new Runner(new OptionsBuilder()
                                .include(
                                        name.equals("frames")
                                                ? FrameBench.class.getSimpleName()
                                                : TurnBench.class.getSimpleName())
                                .addProfiler(GCProfiler.class)
                                .build())
                        .run();
                case "spread" -> SocketBench.spread(100, 300);
                case "streams" -> SocketBench.streams(1000);
                case "memory" -> MemoryBench.main(new String[0]);
                default -> throw new IllegalArgumentException(
                        "unknown benchmark " + name + ", expected frames, turn, spread, streams or memory");
            }
        }
    }
}
