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
import java.util.List;
import java.util.spi.ToolProvider;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import puffinbarrow.cli.Main;
import puffinbarrow.net.Net;

/** The coordinator in service as the process that the platform starts: signals at bad moments, and want of descriptors. */
@Timeout(120)
class ProcessTest extends ServiceFixture {
    private Process process;
    private BufferedReader said;
    private final List<String> lines = new ArrayList<>();

    /** @param before what the shell does before it becomes the coordinator */
    private void launch(String before) throws IOException {
        launch(before, System.getProperty("java.class.path"));
    }

    private void launch(String before, String classes) throws IOException {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        ProcessBuilder builder = new ProcessBuilder(
                "/bin/sh",
                "-c",
                before + " exec '" + java + "' -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -cp '" + classes
                        + "' puffinbarrow.cli.Main serve");
        builder.environment().put("RELAY_CONFIG", folder.resolve("config.json").toString());
        process = builder.redirectErrorStream(true).start();
        said = process.inputReader(StandardCharsets.UTF_8);
    }

    /** Where it listens, once it says that it is ready. */
    private InetSocketAddress ready() throws IOException {
        for (String line = said.readLine(); line != null; line = said.readLine()) {
            lines.add(line);
            if (line.contains(" ready ")) {
                return Net.address(line.replaceAll(".* listen=(\\S+) .*", "$1"));
            }
        }
        throw new AssertionError("ended before it was ready: " + lines);
    }

    private void signal(String name) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid()))
                        .start()
                        .waitFor());
    }

    /** A pipe in the place of the configuration: the process stands at its start until the pipe is written. */
    private OutputStream startHeldAtItsConfiguration() throws Exception {
        Path file = folder.resolve("config.json");
        assertEquals(0, new ProcessBuilder("mkfifo", file.toString()).start().waitFor());
        launch("");
        // Opens once the process has opened its end.
        return Files.newOutputStream(file);
    }

    @AfterEach
    void end() {
        process.destroyForcibly();
    }

    @Test
    void aReloadSignalledBeforeItIsReadyEndsNothingAndIsNotLost() throws Exception {
        try (OutputStream pipe = startHeldAtItsConfiguration()) {
            signal("HUP");
            Server moved = new Server();
            Files.delete(folder.resolve("config.json"));
            configure(moved);
            pipe.write(configuration(relay.listener.address()).getBytes(StandardCharsets.UTF_8));
            pipe.close();
            ready();
            await(() -> moved.streams() == 1);
        }
    }

    @Test
    void anEndSignalledBeforeItIsReadyIsNoFailure() throws Exception {
        try (OutputStream pipe = startHeldAtItsConfiguration()) {
            signal("TERM");
            assertEquals(0, process.waitFor());
        }
    }

    @Test
    void anEndDuringACallInDoubtAndAReloadIsNoFailureAndNothingListensAfter() throws Exception {
        relay.answers.clear();
        relay.answers.add("hold");
        relay.snapshot = "event: attach\ndata: id=8&site=b&rps=2&new=1\n\nevent: owner\ndata: range=1&flag=1\n\n";
        configure(relay);
        launch("");
        InetSocketAddress at = ready();
        Socket collector = connect(at, message("telemetry", "site", "a"));
        relay.taken();
        signal("HUP");
        signal("TERM");
        assertEquals(0, process.waitFor());
        assertEquals("", untilClosed(collector));
        assertTrue(refuses(at));
    }

    private static boolean refuses(InetSocketAddress at) {
        try (Socket late = new Socket(at.getAddress(), at.getPort())) {
            return false;
        } catch (IOException refused) {
            return true;
        }
    }

    @Test
    void whoWasStartedWithReloadsIgnoredSaysSo() throws Exception {
        configure(relay);
        launch("trap '' HUP;");
        ready();
        assertTrue(lines.stream().anyMatch(line -> line.startsWith("signals.ignored HUP")), lines.toString());
    }

    @Test
    void withoutDescriptorsLeftItGoesOnAndACollectorGetsInLater() throws Exception {
        configure(relay);
        // As in service: one archive, open from the start. From a folder each class would want a descriptor of its own.
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
        InetSocketAddress at = ready();
        List<Socket> strangers = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            strangers.add(connect(at, new byte[0]));
        }
        Socket collector = connect(at, message("telemetry", "site", "a"));
        collector.getOutputStream().write(message("hb"));
        assertEquals('*', collector.getInputStream().read());
        for (Socket each : strangers) {
            each.close();
        }
        collector.close();
        assertTrue(connect(at, message("hb")).getInputStream().read() >= 0);
    }
}
