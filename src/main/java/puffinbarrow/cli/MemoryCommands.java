package puffinbarrow.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import puffinbarrow.memory.Facts;
import puffinbarrow.memory.FolderInspector;

/** Inspects the memory folder of a running or stopped coordinator; only {@code compact} writes to it. */
@Command(
        name = "memory",
        mixinStandardHelpOptions = true,
        description = "Inspects a coordinator's memory.",
        subcommands = {
            MemoryCommands.Show.class,
            MemoryCommands.Verify.class,
            MemoryCommands.Compact.class,
            MemoryCommands.Export.class
        })
final class MemoryCommands implements Callable<Integer> {
    @Override
    public Integer call() {
        new CommandLine(this).usage(System.err);
        return Commands.USAGE;
    }

    @Command(name = "show", mixinStandardHelpOptions = true, description = "Prints a summary of the memory.")
    static final class Show implements Callable<Integer> {
        @Parameters(paramLabel = "FOLDER", description = "the memory folder")
        private Path folder;

        @Override
        public Integer call() throws IOException {
            FolderInspector.Found found = FolderInspector.read(folder);
            found.messages().forEach(System.out::println);
            long servers = found.image().all().stream()
                    .filter(f -> f instanceof Facts.ServerFact)
                    .count();
            long slices = found.image().all().stream()
                    .filter(f -> f instanceof Facts.SliceFact)
                    .count();
            Facts.CoordinatorFact self = found.image().self();
            System.out.println(servers + " servers, " + slices + " slices");
            if (self != null) {
                long now = TimeUnit.MILLISECONDS.toNanos(System.currentTimeMillis());
                System.out.printf(
                        Locale.ROOT,
                        "last word %.1f s ago, %s end; %d charges, calm load %.3f, shed %.2f%s%n",
                        (now - self.atNs()) / 1e9,
                        self.cleanShutdown() ? "clean" : "no clean",
                        self.heldSlices().size(),
                        self.calmLoad(),
                        self.shed(),
                        self.overloaded() ? ", strained" : "");
            }
            found.image().all().stream()
                    .filter(f -> f instanceof Facts.ServerFact s
                            && (!s.state().equals("well") || s.falls().size() > 1))
                    .map(f -> (Facts.ServerFact) f)
                    .forEach(s -> System.out.println("  " + s.id() + " " + s.state() + ", fell "
                            + s.falls().size() + " times, hold " + s.holdNs() / 1_000_000 + " ms"));
            return Commands.OK;
        }
    }

    @Command(
            name = "verify",
            mixinStandardHelpOptions = true,
            description = "Checks that a complete state can be read; exit 1 if not.")
    static final class Verify implements Callable<Integer> {
        @Parameters(paramLabel = "FOLDER", description = "the memory folder")
        private Path folder;

        @Override
        public Integer call() throws IOException {
            FolderInspector.Found found = FolderInspector.read(folder);
            found.messages().forEach(System.out::println);
            return found.complete() ? Commands.OK : Commands.FAILED;
        }
    }

    @Command(
            name = "compact",
            mixinStandardHelpOptions = true,
            description = "Rewrites the memory as one snapshot; no coordinator may be using the folder.")
    static final class Compact implements Callable<Integer> {
        @Parameters(paramLabel = "FOLDER", description = "the memory folder")
        private Path folder;

        @Option(names = "--at-most", paramLabel = "BYTES", description = "largest size (${DEFAULT-VALUE})")
        private long maxBytes = 64 << 20;

        @Override
        public Integer call() throws IOException {
            FolderInspector.read(folder);
            FolderInspector.compact(folder, maxBytes).forEach(System.out::println);
            return Commands.OK;
        }
    }

    @Command(name = "export", mixinStandardHelpOptions = true, description = "Prints all facts as JSON, one per line.")
    static final class Export implements Callable<Integer> {
        @Parameters(paramLabel = "FOLDER", description = "the memory folder")
        private Path folder;

        @Override
        public Integer call() throws IOException {
            FolderInspector.export(FolderInspector.read(folder).image(), System.out);
            System.out.flush();
            return Commands.OK;
        }
    }
}
