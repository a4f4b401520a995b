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
 * Kills a real writing process again and again, and looks whether each next start finds a whole state no older than
 * the last commit that was acknowledged. Every commit writes the same number into each of its facts, so a half commit
 * shows.
 */
public final class Kills {
    /** Facts in one commit; several, so that a commit can be torn. */
    private static final int FACTS = 40;

    /** A wrong start came back older than an acknowledged commit, or with half of one; any is a failure. */
    public record Outcome(int rounds, int whole, int ignored, int wrong, long commits, List<String> evidence) {}

    private Kills() {}

    /** The child: commits without end and says each commit's number once it is acknowledged. */
    public static void write(Path folder, PrintStream out) throws IOException {
        List<String> words = new ArrayList<>();
        // A small cap, so that new generations come often.
        try (Store store = Store.open(new RealDisk(folder), 1 << 20, words)) {
            while (true) {
                long number = store.sequence() + 1;
                List<Facts.Fact> facts = new ArrayList<>();
                for (int i = 0; i < FACTS; i++) {
                    facts.add(new Facts.OfSlice(
                            i, number, List.of(new Facts.Line("10.0.0." + i + ":80", 1)), number, number));
                }
                store.commit(facts, List.of());
                out.println(number);
                out.flush();
            }
        }
    }

    /** @param child the command that runs {@link #write} on the folder */
    public static Outcome run(List<String> child, Path folder, int rounds, long seed)
            throws IOException, InterruptedException {
        UniformRandomProvider chance = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        int whole = 0;
        int ignored = 0;
        int wrong = 0;
        long acknowledged = 0;
        List<String> evidence = new ArrayList<>();
        for (int round = 0; round < rounds; round++) {
            Process process = new ProcessBuilder(child)
                    .redirectError(ProcessBuilder.Redirect.DISCARD)
                    .start();
            long until = 1 + chance.nextInt(40);
            try (BufferedReader in =
                    new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.US_ASCII))) {
                // Killed after some commits and a moment more, so that it dies anywhere within one.
                for (long i = 0; i < until; i++) {
                    String line = in.readLine();
                    if (line == null) {
                        break;
                    }
                    acknowledged = Long.parseLong(line.trim());
                }
                TimeUnit.NANOSECONDS.sleep(chance.nextInt(2_000_000));
                // By its handle: the process itself would close the pipe that its last words are in.
                process.toHandle().destroyForcibly();
                // What it said before it died counts; a number that is cut does not.
                for (String line = in.readLine(); line != null; line = in.readLine()) {
                    acknowledged = Math.max(acknowledged, Long.parseLong(line.trim()));
                }
            }
            process.waitFor();
            Store.Opened found = Store.read(new RealDisk(folder));
            String fault = fault(found, acknowledged);
            if (fault != null) {
                wrong++;
                evidence.add("round " + round + ": " + fault + "; " + found.words());
            } else if (found.whole()) {
                whole++;
            } else {
                ignored++;
            }
        }
        return new Outcome(rounds, whole, ignored, wrong, acknowledged, evidence);
    }

    /** What is wrong with a state, or null. */
    static String fault(Store.Opened found, long acknowledged) {
        if (found.sequence() < acknowledged) {
            return "commit " + acknowledged + " was acknowledged, " + found.sequence() + " is found";
        }
        for (Facts.Fact fact : found.image().all()) {
            if (fact.atNs() != found.sequence()) {
                return "commit " + found.sequence() + " has a fact of " + fact.atNs();
            }
        }
        boolean empty = found.image().size() == 0 && found.sequence() == 0;
        return empty || found.image().size() == FACTS
                ? null
                : "it has " + found.image().size() + " facts";
    }

    /** A folder for one run. */
    public static Path folder() throws IOException {
        return Files.createTempDirectory("puffinbarrow-memory");
    }
}
