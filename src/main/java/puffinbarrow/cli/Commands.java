package puffinbarrow.cli;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import puffinbarrow.Logic;
import puffinbarrow.config.CoordinatorConfig;
import puffinbarrow.config.Problem;
import puffinbarrow.coordinator.Coordinator;
import puffinbarrow.coordinator.CoordinatorAddresses;
import puffinbarrow.day.Day;
import puffinbarrow.day.DayReport;
import puffinbarrow.day.Script;
import puffinbarrow.replay.Replay;

/**
 * The sub-commands. Each runs on the main thread and returns its exit code: {@link #OK}, {@link #FAILED},
 * {@link #USAGE} or {@link #RULE_BROKEN}.
 */
@Command(
        name = "puffinbarrow",
        mixinStandardHelpOptions = true,
        version = "puffinbarrow 0.2",
        description = "A control service that hands tables to plain proxies.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {"0:fine", "1:failed", "2:usage or settings", "3:a rule broke"},
        subcommands = {
            Commands.RunCoordinator.class,
            Commands.CheckConfig.class,
            Commands.Status.class,
            Commands.RunDay.class,
            Commands.ReplayRecording.class,
            MemoryCommands.class,
            BenchCommands.class,
            LoadCommands.class,
            ChaosCommands.class,
            EmulateCommands.class,
            Commands.WireHostUsage.class
        })
public final class Commands {
    /** Exit code: done. */
    static final int OK = 0;

    /** Exit code: the command ran and failed. */
    static final int FAILED = 1;

    /** Exit code: wrong arguments or settings. */
    static final int USAGE = 2;

    /** Exit code: the audit found a broken rule. */
    static final int RULE_BROKEN = 3;

    private Commands() {}

    /** Runs the sub-command that the arguments name and returns its exit code. */
    static int run(String[] args) {
        // Silences the informational messages that SLF4J prints at its start.
        System.setProperty("slf4j.internal.verbosity", "WARN");
        CommandLine line = new CommandLine(new Commands());
        line.setExecutionExceptionHandler((failure, command, parsed) -> {
            System.err.println("puffinbarrow: " + failure);
            return FAILED;
        });
        if (args.length == 0) {
            line.usage(System.err);
            return USAGE;
        }
        return line.execute(args);
    }

    /** Prints all problems to standard error and returns whether there are none. */
    private static boolean valid(List<Problem> problems) {
        problems.forEach(p -> System.err.println(p));
        return problems.isEmpty();
    }

    /** {@code coordinator}: runs a coordinator until a signal ends it. */
    @Command(
            name = "coordinator",
            mixinStandardHelpOptions = true,
            description = "Runs a coordinator until TERM or INT; HUP reloads its settings.")
    static final class RunCoordinator implements Callable<Integer> {
        @Option(
                names = {"-c", "--config"},
                required = true,
                paramLabel = "FILE",
                description = "the settings file")
        private Path file;

        @Override
        public Integer call() throws IOException, InterruptedException {
            List<Problem> problems = new ArrayList<>();
            CoordinatorConfig config = CoordinatorConfig.read(file, problems);
            if (!valid(problems)) {
                return USAGE;
            }
            LogSetup.configure(config.logJson, config.logLevel);
            CountDownLatch end = new CountDownLatch(1);
            AtomicInteger code = new AtomicInteger(OK);
            Coordinator coordinator = new Coordinator(config, Logic::new);
            coordinator.onFatalExit(exitCode -> {
                code.set(exitCode);
                end.countDown();
            });
            Signals.on("HUP", () -> {
                List<Problem> reloadProblems = new ArrayList<>();
                CoordinatorConfig reloaded = CoordinatorConfig.read(file, reloadProblems);
                if (valid(reloadProblems)) {
                    valid(coordinator.reload(reloaded));
                    LogSetup.configure(config.logJson, config.logLevel);
                }
            });
            Runnable shutDown = () -> {
                if (end.getCount() == 0) {
                    // A second signal ends the process at once.
                    Runtime.getRuntime().halt(FAILED);
                }
                end.countDown();
            };
            Signals.on("TERM", shutDown);
            Signals.on("INT", shutDown);
            coordinator.start();
            end.await();
            coordinator.close();
            return code.get();
        }
    }

    @Command(
            name = "check-config",
            mixinStandardHelpOptions = true,
            description = "Checks a coordinator's settings and prints every error with its line.")
    static final class CheckConfig implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", description = "the settings file")
        private Path file;

        @Override
        public Integer call() {
            List<Problem> problems = new ArrayList<>();
            CoordinatorConfig.read(file, problems);
            if (!valid(problems)) {
                return USAGE;
            }
            System.out.println(file + ": sound");
            return OK;
        }
    }

    @Command(
            name = "status",
            mixinStandardHelpOptions = true,
            description = "Prints the status of a running coordinator, from its admin listener.")
    static final class Status implements Callable<Integer> {
        @Parameters(paramLabel = "ADDRESS:PORT|PORT-FILE", description = "its admin listener, or its port-file")
        private String target;

        @Option(
                names = "--pace",
                paramLabel = "SHARE",
                description = "sets the pace of the order channel instead, for drills")
        private Double pace;

        @Override
        public Integer call() throws IOException {
            InetSocketAddress address;
            try {
                address = Files.isRegularFile(Path.of(target))
                        ? CoordinatorAddresses.read(Path.of(target)).admin()
                        : CoordinatorAddresses.address(target);
            } catch (IOException e) {
                System.err.println("status: " + e.getMessage());
                return USAGE;
            }
            try {
                String answer = CoordinatorAddresses.ask(address, pace == null ? "status" : "pace " + pace);
                System.out.print(answer);
                return answer.isEmpty() || answer.startsWith("error") ? FAILED : OK;
            } catch (IOException e) {
                System.err.println("status: no answer from " + address.getHostString() + ":" + address.getPort() + ": "
                        + e.getMessage());
                return FAILED;
            }
        }
    }

    @Command(
            name = "day",
            mixinStandardHelpOptions = true,
            description = "Runs a scripted day on loopback with real coordinators and checks the five rules.")
    static final class RunDay implements Callable<Integer> {
        @Parameters(
                arity = "0..1",
                paramLabel = "FILE",
                description = "the script, or default or monday for a built-in one (default: ${DEFAULT-VALUE})",
                defaultValue = "default")
        private Path file;

        @Option(names = "--seed", paramLabel = "N", description = "replaces the script's seed")
        private Long seed;

        @Option(
                names = {"-o", "--out"},
                paramLabel = "PAGE",
                description = "writes figures, rules and charts to an HTML file")
        private Path out;

        @Option(
                names = "--log",
                paramLabel = "LEVEL",
                description = "log level of coordinators (default: ${DEFAULT-VALUE})")
        private String level = "error";

        @Override
        public Integer call() throws IOException, InterruptedException {
            List<Problem> problems = new ArrayList<>();
            String builtIn = Files.exists(file) ? null : builtIn(file.toString());
            Script script =
                    builtIn == null ? Script.read(file, problems) : Script.parse(file + ".day", builtIn, problems);
            script.checkSocketLimits(problems);
            if (!valid(problems)) {
                return USAGE;
            }
            script.seed = seed == null ? script.seed : seed;
            LogSetup.configure(false, level);
            try (Day day = new Day(script, System.out, new Day.Overrides(Logic::new, List.of()))) {
                DayReport report = day.run();
                System.out.print(report.text());
                if (out != null) {
                    report.html(out);
                    System.out.println("written to " + out);
                }
                return !report.verdict().kept() ? RULE_BROKEN : report.passed() ? OK : FAILED;
            }
        }
    }

    /** Returns a script that comes with the program, or null if there is none of this name. */
    static String builtIn(String name) throws IOException {
        try (InputStream in = Commands.class.getResourceAsStream("/puffinbarrow/" + name + ".day")) {
            return in == null ? null : new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    @Command(
            name = "replay",
            mixinStandardHelpOptions = true,
            description = "Plays a recorded bench day through real coordinators and compares their orders.")
    static final class ReplayRecording implements Callable<Integer> {
        @Parameters(paramLabel = "TAP", arity = "1..*", description = "files written with --tap")
        private List<Path> recordings;

        @Override
        public Integer call() throws IOException {
            LogSetup.configure(false, "error");
            int code = OK;
            for (Path recording : recordings) {
                Replay.Result result = Replay.play(recording, Logic::new);
                System.out.printf(
                        "%s: %d batches, %d coordinators, %d orders compared, %d timers and log lines inside%n",
                        recording, result.batches(), result.coordinators(), result.orders(), result.inside());
                System.out.println(result.equal() ? "equal" : "DIFFERENT: " + result.difference());
                code = result.equal() ? code : FAILED;
            }
            return code;
        }
    }

    /** Lists {@code wirehost} in the help; {@link Main} runs it. */
    @Command(
            name = "wirehost",
            description = "Hosts the decision logic on the bench's wire protocol (takes no options).")
    static final class WireHostUsage implements Callable<Integer> {
        @Override
        public Integer call() {
            System.err.println("usage: puffinbarrow wirehost");
            return USAGE;
        }
    }
}
