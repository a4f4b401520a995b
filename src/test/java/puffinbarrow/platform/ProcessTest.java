package puffinbarrow.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.spi.ToolProvider;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import puffinbarrow.cli.Main;
import puffinbarrow.net.Net;

/** The coordinator in service as a separate process: signals at unfavourable moments, lack of file descriptors. */
@Timeout(120)
class ProcessTest extends ServiceFixture {
    private Process process;
    private BufferedReader output;
    private final List<String> lines = new ArrayList<>();
    /** Options of the process besides those of all tests. */
    private String jvmOptions = "";

    /** @param shellCommands commands that the shell runs before it executes the coordinator */
    private void launch(String shellCommands) throws IOException {
        launch(shellCommands, System.getProperty("java.class.path"));
    }

    private void launch(String shellCommands, String classes) throws IOException {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        ProcessBuilder builder = new ProcessBuilder(
                "/bin/sh",
                "-c",
                shellCommands + " exec '" + java + "' -XX:+UseSerialGC -XX:TieredStopAtLevel=1 " + jvmOptions + " -cp '"
                        + classes + "' puffinbarrow.cli.Main serve");
        builder.environment().put("RELAY_CONFIG", folder.resolve("config.json").toString());
        process = builder.redirectErrorStream(true).start();
        output = process.inputReader(StandardCharsets.UTF_8);
    }

    /** Waits for the log line of a ready process and returns the address on which it listens. */
    private InetSocketAddress awaitReady() throws IOException {
        for (String line = output.readLine(); line != null; line = output.readLine()) {
            lines.add(line);
            if (line.contains(" ready ")) {
                return Net.parseAddress(line.replaceAll(".* listen=(\\S+) .*", "$1"));
            }
        }
        throw new AssertionError("process ended before it was ready: " + lines);
    }

    private void signal(String name) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid()))
                        .start()
                        .waitFor());
    }

    /** Starts the process with a pipe as configuration file, so that its startup waits until the pipe is written. */
    private OutputStream launchBlockedOnConfiguration() throws Exception {
        Path file = folder.resolve("config.json");
        assertEquals(0, new ProcessBuilder("mkfifo", file.toString()).start().waitFor());
        launch("");
        // Blocks until the process has opened its end.
        return Files.newOutputStream(file);
    }

    @AfterEach
    void destroyProcess() {
        process.destroyForcibly();
    }

    @Test
    void handlesReloadSignalledDuringStartup() throws Exception {
        StubServer moved = new StubServer();
        // The process starts once the pipe is closed, and finds the new file when it handles the reload.
        try (OutputStream pipe = launchBlockedOnConfiguration()) {
            signal("HUP");
            Files.delete(folder.resolve("config.json"));
            configure(moved);
            pipe.write(configuration(relay.listener.address()).getBytes(StandardCharsets.UTF_8));
        }
        awaitReady();
        await(() -> moved.streamCount() == 1);
    }

    @Test
    @SuppressWarnings("try") // The open pipe keeps the process in its startup.
    void exitsCleanlyOnTermDuringStartup() throws Exception {
        try (OutputStream pipe = launchBlockedOnConfiguration()) {
            signal("TERM");
            assertEquals(0, process.waitFor());
        }
    }

    @Test
    void exitsCleanlyOnTermDuringUnansweredCallAndReload() throws Exception {
        relay.answers.clear();
        relay.answers.add(HOLD);
        relay.snapshot = "event: attach\ndata: id=8&site=b&rps=2&new=1\n\nevent: owner\ndata: range=1&flag=1\n\n";
        configure(relay);
        launch("");
        InetSocketAddress address = awaitReady();
        Socket collector = connect(address, message("telemetry", "site", "a"));
        relay.awaitHeldRequest();
        signal("HUP");
        signal("TERM");
        assertEquals(0, process.waitFor());
        assertEquals("", readUntilClosed(collector));
        assertTrue(refusesConnections(address));
    }

    @SuppressWarnings("try") // Only whether the connection can be opened matters.
    private static boolean refusesConnections(InetSocketAddress address) {
        try (Socket late = new Socket(address.getAddress(), address.getPort())) {
            return false;
        } catch (IOException refused) {
            return true;
        }
    }

    @Test
    void logsThatItWasStartedWithReloadSignalsIgnored() throws Exception {
        configure(relay);
        launch("trap '' HUP;");
        awaitReady();
        assertTrue(lines.stream().anyMatch(line -> line.startsWith("signals.ignored HUP")), lines.toString());
    }

    /** Launches the process with the heap and the descriptors that it has in production. */
    private InetSocketAddress launchWithProductionLimits() throws IOException {
        sockets = 1024;
        configure(relay);
        jvmOptions = "-Xms16m -Xmx32m -XX:+ExitOnOutOfMemoryError";
        launch("ulimit -n 1024;");
        return awaitReady();
    }

    /** Sends the bytes on a new connection; the process may close it meanwhile. */
    private static void sendHalfMessage(InetSocketAddress address, byte[] bytes, List<Socket> open) throws IOException {
        Socket client = new Socket(address.getAddress(), address.getPort());
        open.add(client);
        try {
            client.getOutputStream().write(bytes);
        } catch (IOException closed) {
            // Rejected before all was sent.
        }
    }

    private void assertServes(InetSocketAddress address) throws IOException {
        assertEquals("*1\r\n$5\r\nhb_ok\r\n", readAnswer(connect(address, message("hb"))));
        assertTrue(process.isAlive());
    }

    private static String readAnswer(Socket client) throws IOException {
        try (client) {
            return new String(client.getInputStream().readNBytes(15), StandardCharsets.US_ASCII);
        }
    }

    /**
     * Guards against running out of heap by hundreds of clients that each send half a message of many short parts, which
     * took nine times their size.
     */
    @Test
    void survivesHalfMessagesOfHundredsOfClients() throws Exception {
        InetSocketAddress address = launchWithProductionLimits();
        byte[] half = ("*1024\r\n" + "$1\r\na\r\n".repeat(580)).getBytes(StandardCharsets.US_ASCII);
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < 890; i++) {
            sendHalfMessage(address, half, clients);
        }
        assertServes(address);
        for (Socket client : clients) {
            client.close();
        }
    }

    /** Guards against running out of heap by the sum of what joined clients may send each within the limit. */
    @Test
    void survivesHalfMessagesOfJoinedClients() throws Exception {
        InetSocketAddress address = launchWithProductionLimits();
        String large = "x".repeat(1_000_000);
        byte[] half = ("*2\r\n$14\r\nupstream_stats\r\n$1000001\r\n" + large).getBytes(StandardCharsets.US_ASCII);
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < 32; i++) {
            byte[] join = message("telemetry", "site", "a");
            byte[] bytes = Arrays.copyOf(join, join.length + half.length);
            System.arraycopy(half, 0, bytes, join.length, half.length);
            sendHalfMessage(address, bytes, clients);
            assertServes(address);
        }
        for (Socket client : clients) {
            client.close();
        }
    }

    @Test
    void acceptsCollectorAfterRunningOutOfDescriptors() throws Exception {
        configure(relay);
        // One archive, open from the start, as in production; loaded from a folder, each class would need a descriptor.
        Path archive = folder.resolve("classes.jar");
        String classes = Path.of(Main.class
                        .getProtectionDomain()
                        .getCodeSource()
                        .getLocation()
                        .toURI())
                .toString();
        assertEquals(
                0,
                ToolProvider.findFirst("jar")
                        .orElseThrow()
                        .run(System.out, System.err, "-cf", archive.toString(), "-C", classes, "."));
        launch("ulimit -n 160;", archive + ":" + System.getProperty("java.class.path"));
        InetSocketAddress address = awaitReady();
        List<Socket> unjoined = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            unjoined.add(connect(address, new byte[0]));
        }
        Socket collector = connect(address, message("telemetry", "site", "a"));
        collector.getOutputStream().write(message("hb"));
        assertEquals('*', collector.getInputStream().read());
        for (Socket each : unjoined) {
            each.close();
        }
        collector.close();
        assertTrue(connect(address, message("hb")).getInputStream().read() >= 0);
    }
}
