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
import puffinbarrow.coordinator.Ports;
import puffinbarrow.day.Day;
import puffinbarrow.day.Page;
import puffinbarrow.day.Script;
import puffinbarrow.replay.Replay;

/** The sub-commands. Exit codes: 0 fine, 1 failed, 2 usage or settings, 3 a rule broke. */
@Command(
        name = "puffinbarrow",
        mixinStandardHelpOptions = true,
        version = "puffinbarrow 0.2",
        description = "A control service that hands tables to plain proxies.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {"0:fine", "1:failed", "2:usage or settings", "3:a rule broke"},
        subcommands = {
            Commands.Run.class,
            Commands.Check.class,
            Commands.Status.class,
            Commands.PlayDay.class,
            Commands.PlayTap.class,
            MemoryCommands.class,
            BenchCommands.class,
            LoadCommands.class,
            ChaosCommands.class,
            EmulateCommands.class,
            Commands.WireHelp.class
        })
public final class Commands {
    static final int FINE = 0, FAILED = 1, USAGE = 2, RULE = 3;

    private Commands() {}

    static int run(String[] args) {
        // The logging library's own word on its start is for its developers.
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

    /** Prints every mistake; whether there was none. */
    private static boolean sound(List<Problem> problems) {
        problems.forEach(p -> System.err.println(p));
        return problems.isEmpty();
    }

    @Command(
            name = "coordinator",
            mixinStandardHelpOptions = true,
            description = "Runs a coordinator until it is told to end (TERM, INT); HUP reads its settings again.")
    static final class Run implements Callable<Integer> {
        @Option(
                names = {"-c", "--config"},
                required = true,
                paramLabel = "FILE",
                description = "its settings")
        private Path file;

        @Override
        public Integer call() throws IOException, InterruptedException {
            List<Problem> problems = new ArrayList<>();
            CoordinatorConfig config = CoordinatorConfig.read(file, problems);
            if (!sound(problems)) {
                return USAGE;
            }
            Logs.set(config.logJson, config.logLevel);
            CountDownLatch end = new CountDownLatch(1);
            AtomicInteger code = new AtomicInteger(FINE);
            Coordinator coordinator = new Coordinator(config, Logic::new);
            coordinator.onGivingUp(with -> {
                code.set(with);
                end.countDown();
            });
            Signals.on("HUP", () -> {
                List<Problem> again = new ArrayList<>();
                CoordinatorConfig read = CoordinatorConfig.read(file, again);
                if (sound(again)) {
                    sound(coordinator.reload(read));
                    Logs.set(config.logJson, config.logLevel);
                }
            });
            Runnable orderly = () -> {
                if (end.getCount() == 0) {
                    // Asked a second time: at once.
                    Runtime.getRuntime().halt(FAILED);
                }
                end.countDown();
            };
            Signals.on("TERM", orderly);
            Signals.on("INT", orderly);
            coordinator.start();
            end.await();
            coordinator.close();
            return code.get();
        }
    }

    @Command(
            name = "check-config",
            mixinStandardHelpOptions = true,
            description = "Reads a coordinator's settings and prints every mistake with its line.")
    static final class Check implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", description = "the settings")
        private Path file;

        @Override
        public Integer call() {
            List<Problem> problems = new ArrayList<>();
            CoordinatorConfig.read(file, problems);
            if (!sound(problems)) {
                return USAGE;
            }
            System.out.println(file + ": sound");
            return FINE;
        }
    }

    @Command(
            name = "status",
            mixinStandardHelpOptions = true,
            description = "Asks a running coordinator how things stand, by its admin listener.")
    static final class Status implements Callable<Integer> {
        @Parameters(paramLabel = "ADDRESS:PORT|PORT-FILE", description = "its admin listener, or its port-file")
        private String where;

        @Option(names = "--pace", paramLabel = "SHARE", description = "for drills: sets the channel's pace instead")
        private Double pace;

        @Override
        public Integer call() throws IOException {
            InetSocketAddress address;
            try {
                address = Files.isRegularFile(Path.of(where))
                        ? Ports.read(Path.of(where)).admin()
                        : Ports.address(where);
            } catch (IOException wrong) {
                System.err.println("status: " + wrong.getMessage());
                return USAGE;
            }
            try {
                String answer = Ports.ask(address, pace == null ? "status" : "pace " + pace);
                System.out.print(answer);
                return answer.isEmpty() || answer.startsWith("error") ? FAILED : FINE;
            } catch (IOException silent) {
                System.err.println("status: no answer from " + address.getHostString() + ":" + address.getPort() + ": "
                        + silent.getMessage());
                return FAILED;
            }
        }
    }

    @Command(
            name = "day",
            mixinStandardHelpOptions = true,
            description = "Plays a scripted day on loopback against real coordinators and judges the five rules.")
    static final class PlayDay implements Callable<Integer> {
        @Parameters(
                arity = "0..1",
                paramLabel = "FILE",
                description = "the script, or default or" + " monday, which are built in (default: ${DEFAULT-VALUE})",
                defaultValue = "default")
        private Path file;

        @Option(names = "--seed", paramLabel = "N", description = "another seed than the script's")
        private Long seed;

        @Option(
                names = {"-o", "--out"},
                paramLabel = "PAGE",
                description = "writes figures, rules and charts as HTML")
        private Path out;

        @Option(
                names = "--log",
                paramLabel = "LEVEL",
                description = "what coordinators log (default: ${DEFAULT-VALUE})")
        private String level = "error";

        @Override
        public Integer call() throws IOException, InterruptedException {
            List<Problem> problems = new ArrayList<>();
            String builtIn = Files.exists(file) ? null : builtIn(file.toString());
            Script script =
                    builtIn == null ? Script.read(file, problems) : Script.parse(file + ".day", builtIn, problems);
            script.forSockets(problems);
            if (!sound(problems)) {
                return USAGE;
            }
            script.seed = seed == null ? script.seed : seed;
            Logs.set(false, level);
            try (Day day = new Day(script, System.out, new Day.Bend(Logic::new, List.of()))) {
                Page page = day.run();
                System.out.print(page.text());
                if (out != null) {
                    page.html(out);
                    System.out.println("written to " + out);
                }
                return !page.verdict().kept() ? RULE : page.sound() ? FINE : FAILED;
            }
        }
    }

    /** A script that comes with the program, or null. */
    static String builtIn(String name) throws IOException {
        try (InputStream in = Commands.class.getResourceAsStream("/puffinbarrow/" + name + ".day")) {
            return in == null ? null : new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    @Command(
            name = "replay",
            mixinStandardHelpOptions = true,
            description = "Plays a recorded bench day through real coordinators and compares their orders.")
    static final class PlayTap implements Callable<Integer> {
        @Parameters(paramLabel = "TAP", arity = "1..*", description = "files written with --tap")
        private List<Path> taps;

        @Override
        public Integer call() throws IOException {
            Logs.set(false, "error");
            int code = FINE;
            for (Path tap : taps) {
                Replay.Result result = Replay.play(tap, Logic::new);
                System.out.printf(
                        "%s: %d batches, %d coordinators, %d orders compared, %d timers and log lines inside%n",
                        tap, result.batches(), result.coordinators(), result.orders(), result.inside());
                System.out.println(result.equal() ? "equal" : "DIFFERENT: " + result.difference());
                code = result.equal() ? code : FAILED;
            }
            return code;
        }
    }

    @Command(name = "wirehost", description = "Hosts the decisions on the bench's wire (takes no options).")
    static final class WireHelp implements Callable<Integer> {
        @Override
        public Integer call() {
            System.err.println("usage: puffinbarrow wirehost");
            return USAGE;
        }
    }
}
