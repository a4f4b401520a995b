package puffinbarrow.memory;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Crash test of {@link Store}: repeatedly kills a writing process and checks that the folder then holds a consistent
 * state no older than the last acknowledged commit. Every commit writes its number into each of its facts, so that a
 * partial commit is detected. Run by the command {@code bench memory-kill} and by a test.
 */
public final class CrashRecoveryCheck {
    /** More than one, so that a commit can be torn. */
    private static final int FACTS_PER_COMMIT = 40;

    /**
     * Result of a run.
     *
     * @param rounds the number of kills
     * @param whole rounds after which a complete and correct state was found
     * @param ignored rounds after which no complete snapshot was found, without an acknowledged commit being lost
     * @param wrong rounds after which an acknowledged commit was lost or a commit was partial; any is a failure
     * @param commits the last acknowledged commit
     * @param evidence a description of each wrong round
     */
    public record Outcome(int rounds, int whole, int ignored, int wrong, long commits, List<String> evidence) {}

    private CrashRecoveryCheck() {}

    /** Runs in the child process: commits until killed and prints each commit's number once it is acknowledged. */
    public static void write(Path folder, PrintStream out) throws IOException {
        List<String> messages = new ArrayList<>();
        // A small limit, so that new generations are frequent.
        try (Store store = Store.open(new RealDisk(folder), 1 << 20, messages)) {
            while (true) {
                long number = store.sequence() + 1;
                List<Facts.Fact> facts = new ArrayList<>();
                for (int i = 0; i < FACTS_PER_COMMIT; i++) {
                    facts.add(new Facts.SliceFact(
                            i, number, List.of(new Facts.Line("10.0.0." + i + ":80", 1)), number, number));
                }
                store.commit(facts, List.of());
                out.println(number);
                out.flush();
            }
        }
    }

    /**
     * Starts and kills the child the given number of times.
     *
     * @param child the command that runs {@link #write} on the folder
     */
    public static Outcome run(List<String> child, Path folder, int rounds, long seed)
            throws IOException, InterruptedException {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        int whole = 0;
        int ignored = 0;
        int wrong = 0;
        long acknowledged = 0;
        List<String> evidence = new ArrayList<>();
        for (int round = 0; round < rounds; round++) {
            Process process = new ProcessBuilder(child)
                    .redirectError(ProcessBuilder.Redirect.DISCARD)
                    .start();
            long commitsToAwait = 1 + random.nextInt(40);
            try (BufferedReader in =
                    new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.US_ASCII))) {
                // Killed after some commits and up to 2 ms, so that the kill can hit any point within a commit.
                for (long i = 0; i < commitsToAwait; i++) {
                    String line = in.readLine();
                    if (line == null) {
                        break;
                    }
                    acknowledged = Long.parseLong(line.trim());
                }
                TimeUnit.NANOSECONDS.sleep(random.nextInt(2_000_000));
                // Killed by its handle: Process.destroyForcibly would close the pipe with the output not read yet.
                process.toHandle().destroyForcibly();
                // Commits printed before the kill count as acknowledged.
                for (String line = in.readLine(); line != null; line = in.readLine()) {
                    acknowledged = Math.max(acknowledged, Long.parseLong(line.trim()));
                }
            }
            process.waitFor();
            Store.Contents contents = Store.read(new RealDisk(folder));
            String violation = violation(contents, acknowledged);
            if (violation != null) {
                wrong++;
                evidence.add("round " + round + ": " + violation + "; " + contents.messages());
            } else if (contents.complete()) {
                whole++;
            } else {
                ignored++;
            }
        }
        return new Outcome(rounds, whole, ignored, wrong, acknowledged, evidence);
    }

    /** Returns how the state violates the guarantee, or null. */
    static String violation(Store.Contents contents, long acknowledged) {
        if (contents.sequence() < acknowledged) {
            return "commit " + acknowledged + " was acknowledged, but the last one found is " + contents.sequence();
        }
        for (Facts.Fact fact : contents.image().all()) {
            if (fact.atNs() != contents.sequence()) {
                return "commit " + contents.sequence() + " holds a fact of commit " + fact.atNs();
            }
        }
        boolean empty = contents.image().size() == 0 && contents.sequence() == 0;
        return empty || contents.image().size() == FACTS_PER_COMMIT
                ? null
                : "the state holds " + contents.image().size() + " facts";
    }

    /** Creates a temporary folder for one run. */
    public static Path folder() throws IOException {
        return Files.createTempDirectory("puffinbarrow-memory");
    }
}
