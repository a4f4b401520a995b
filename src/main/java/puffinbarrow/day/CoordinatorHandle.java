package puffinbarrow.day;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import puffinbarrow.config.CoordinatorConfig;
import puffinbarrow.control.Controller;
import puffinbarrow.coordinator.Coordinator;
import puffinbarrow.coordinator.CoordinatorAddresses;

/**
 * Controls one running coordinator of a scripted day, either inside this process or as a child process, which can also
 * be killed and suspended by the operating system. {@link Day} and its timer thread call it.
 */
interface CoordinatorHandle {
    /** Returns the address that proxies and peers connect to. */
    InetSocketAddress address();

    /** Returns the current value of each metric, by name; empty if a child process does not answer. */
    Map<String, Double> metrics();

    /** Sets the pace of the order channel to this part (0 to 1) of the configured one. */
    void pace(double part);

    /** Passes the coordinator the address of another one. */
    void connectPeer(int number, InetSocketAddress address);

    /** Cuts the connection to another coordinator, or allows it again. */
    void cutPeer(int number, boolean cut);

    /** Cuts the connection to the store, or allows it again. */
    void cutStore(boolean cut);

    /** Cuts the connection to the registry, or allows it again. */
    void cutRegistry(boolean cut);

    /** Makes the coordinator hand over the slices it is in charge of. */
    void leave();

    /** Ends the coordinator without an orderly shutdown. */
    void kill();

    /** Suspends the process, or resumes it. */
    void setSuspended(boolean suspend) throws IOException;

    /** Starts a coordinator inside this process. */
    static CoordinatorHandle inProcess(CoordinatorConfig config, Controller.Factory decisions) throws IOException {
        Coordinator coordinator = new Coordinator(config, decisions).start();
        return new CoordinatorHandle() {
            @Override
            public InetSocketAddress address() {
                return coordinator.address();
            }

            @Override
            public Map<String, Double> metrics() {
                return coordinator.meters().values();
            }

            @Override
            public void pace(double part) {
                coordinator.pace(part);
            }

            @Override
            public void connectPeer(int number, InetSocketAddress address) {
                coordinator.connectPeer(number, address);
            }

            @Override
            public void cutPeer(int number, boolean cut) {
                coordinator.cutPeer(number, cut);
            }

            @Override
            public void cutStore(boolean cut) {
                coordinator.cutStore(cut);
            }

            @Override
            public void cutRegistry(boolean cut) {
                coordinator.cutRegistry(cut);
            }

            @Override
            public void leave() {
                coordinator.leave();
            }

            @Override
            public void kill() {
                coordinator.kill();
            }

            @Override
            public void setSuspended(boolean suspend) throws IOException {
                throw new IOException("only a coordinator in a child process can be suspended");
            }
        };
    }

    /**
     * Starts a coordinator as a child process and waits up to 10 s for its port-file.
     *
     * @param settings the lines of its settings file, each ended by a line break
     * @param command the command line that runs this program
     * @param folder receives the settings, the port-file and the log
     * @param storeCutter cuts the coordinator's stream at the store's end
     */
    static CoordinatorHandle childProcess(
            int number, String settings, List<String> command, Path folder, StoreCutter storeCutter)
            throws IOException, InterruptedException {
        Path settingsFile = folder.resolve("c" + number + ".conf");
        Path portFile = folder.resolve("c" + number + ".ports");
        Files.deleteIfExists(portFile);
        Files.writeString(settingsFile, settings + "port-file " + portFile + "\n");
        List<String> arguments = new ArrayList<>(command);
        arguments.addAll(List.of("coordinator", "-c", settingsFile.toString()));
        Process process = new ProcessBuilder(arguments)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(
                        folder.resolve("c" + number + ".log").toFile()))
                .start();
        for (int i = 0; i < 1000 && !Files.exists(portFile) && process.isAlive(); i++) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        if (!Files.exists(portFile)) {
            process.destroyForcibly();
            throw new IOException("coordinator " + number
                    + " did not write its port-file within 10 s or ended; its log is in " + folder);
        }
        CoordinatorAddresses addresses = CoordinatorAddresses.read(portFile);
        return new ChildProcess(number, process, addresses.listen(), addresses.admin(), storeCutter);
    }

    /** Cuts the stream between a coordinator and the store at the store's end. */
    interface StoreCutter {
        void cut(int number, boolean cut);
    }

    /** A coordinator in a child process, controlled through its admin listener and by signals. */
    record ChildProcess(
            int number, Process process, InetSocketAddress address, InetSocketAddress admin, StoreCutter storeCutter)
            implements CoordinatorHandle {
        private String ask(String request) {
            try {
                return CoordinatorAddresses.ask(admin, request);
            } catch (IOException unreachable) {
                return "";
            }
        }

        @Override
        public Map<String, Double> metrics() {
            Map<String, Double> metrics = new TreeMap<>();
            for (String line : ask("status").split("\n")) {
                String[] words = line.split(" ");
                if (words.length == 2 && !words[0].endsWith(":")) {
                    metrics.put(words[0], Double.parseDouble(words[1]));
                }
            }
            return metrics;
        }

        @Override
        public void pace(double part) {
            ask("pace " + part);
        }

        @Override
        public void leave() {
            ask("leave");
        }

        @Override
        public void connectPeer(int other, InetSocketAddress otherAddress) {
            // Nothing to do: its settings name the peers, and the decision logic sends them nothing at present.
        }

        @Override
        public void cutPeer(int other, boolean cut) {
            // Not possible from outside the process.
        }

        @Override
        public void cutStore(boolean cut) {
            storeCutter.cut(number, cut);
        }

        @Override
        public void cutRegistry(boolean cut) {
            // Not possible from outside the process.
        }

        @Override
        public void kill() {
            process.destroyForcibly();
        }

        @Override
        public void setSuspended(boolean suspend) throws IOException {
            new ProcessBuilder("kill", suspend ? "-STOP" : "-CONT", Long.toString(process.pid())).start();
        }
    }
}
