package puffinbarrow.day;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import puffinbarrow.config.CoordinatorConfig;
import puffinbarrow.control.Controller;
import puffinbarrow.coordinator.Coordinator;
import puffinbarrow.coordinator.Ports;

/** A coordinator of a day: within this process, or a process of its own that can be killed and stopped for real. */
interface Runner {
    InetSocketAddress address();

    Map<String, Double> figures();

    void pace(double part);

    void connectPeer(int number, InetSocketAddress address);

    void cutPeer(int number, boolean on);

    void cutStore(boolean on);

    void cutRegistry(boolean on);

    /** Hands its charges on. */
    void leave();

    void kill();

    /** Stands still as a whole, or goes on. */
    void freeze(boolean on) throws IOException;

    static Runner within(CoordinatorConfig config, Controller.Factory decisions) throws IOException {
        Coordinator coordinator = new Coordinator(config, decisions).start();
        return new Runner() {
            @Override
            public InetSocketAddress address() {
                return coordinator.address();
            }

            @Override
            public Map<String, Double> figures() {
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
            public void cutPeer(int number, boolean on) {
                coordinator.cutPeer(number, on);
            }

            @Override
            public void cutStore(boolean on) {
                coordinator.cutStore(on);
            }

            @Override
            public void cutRegistry(boolean on) {
                coordinator.cutRegistry(on);
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
            public void freeze(boolean on) throws IOException {
                throw new IOException("only a process of its own can be stopped");
            }
        };
    }

    /** @param command this program's; @param cuts cuts a coordinator's stream at the far ends, by part */
    static Runner process(int number, String settings, List<String> command, Path folder, Cuts cuts)
            throws IOException, InterruptedException {
        Path file = folder.resolve("c" + number + ".conf");
        Path ports = folder.resolve("c" + number + ".ports");
        Files.deleteIfExists(ports);
        Files.writeString(file, settings + "port-file " + ports + "\n");
        List<String> words = new java.util.ArrayList<>(command);
        words.addAll(List.of("coordinator", "-c", file.toString()));
        Process process = new ProcessBuilder(words)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(
                        folder.resolve("c" + number + ".log").toFile()))
                .start();
        for (int i = 0; i < 1000 && !Files.exists(ports) && process.isAlive(); i++) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        if (!Files.exists(ports)) {
            process.destroyForcibly();
            throw new IOException("coordinator " + number + " did not start, see " + folder);
        }
        Ports at = Ports.read(ports);
        return new Child(number, process, at.listen(), at.admin(), cuts);
    }

    /** Where streams of a process can be cut from outside. */
    interface Cuts {
        void store(int number, boolean on);
    }

    record Child(int number, Process process, InetSocketAddress address, InetSocketAddress admin, Cuts cuts)
            implements Runner {
        private String ask(String what) {
            try {
                return Ports.ask(admin, what);
            } catch (IOException gone) {
                return "";
            }
        }

        @Override
        public Map<String, Double> figures() {
            Map<String, Double> figures = new TreeMap<>();
            for (String line : ask("status").split("\n")) {
                String[] words = line.split(" ");
                if (words.length == 2 && !words[0].endsWith(":")) {
                    figures.put(words[0], Double.parseDouble(words[1]));
                }
            }
            return figures;
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
        public void connectPeer(int other, InetSocketAddress there) {
            // Its settings name the peers; today's decisions send them nothing.
        }

        @Override
        public void cutPeer(int other, boolean on) {}

        @Override
        public void cutStore(boolean on) {
            cuts.store(number, on);
        }

        @Override
        public void cutRegistry(boolean on) {}

        @Override
        public void kill() {
            process.destroyForcibly();
        }

        @Override
        public void freeze(boolean on) throws IOException {
            new ProcessBuilder("kill", on ? "-STOP" : "-CONT", Long.toString(process.pid())).start();
        }
    }
}
