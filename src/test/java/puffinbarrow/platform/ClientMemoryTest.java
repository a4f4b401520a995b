package puffinbarrow.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import puffinbarrow.net.ClientMemory;

/** What all clients together may make the service hold, and who is rejected beyond it. */
@Timeout(60)
class ClientMemoryTest extends ServiceFixture {
    private static final int BUDGET_BYTES = 64 * 1024;

    private void startWithSmallBudget() throws IOException {
        clientMemory = new ClientMemory(BUDGET_BYTES);
        start(List.of());
    }

    private static String answer(Socket client) throws IOException {
        client.getOutputStream().write(message("hb"));
        return new String(client.getInputStream().readNBytes(15), StandardCharsets.US_ASCII);
    }

    /** Guards against turning away small clients for the memory that a joined one takes. */
    @Test
    void rejectsTheClientThatHoldsMost() throws Exception {
        startWithSmallBudget();
        Socket small = connect(new byte[0]);
        Socket collector = connect(message("telemetry", "site", "a"));
        assertEquals("*1\r\n$5\r\nhb_ok\r\n", answer(collector));
        Socket large = connect(message("telemetry", "site", "b"));
        large.getOutputStream().write(("*2\r\n$200000\r\n" + "x".repeat(100_000)).getBytes(StandardCharsets.US_ASCII));
        assertTrue(readUntilClosed(large).contains("too much held"));
        assertEquals("*1\r\n$5\r\nhb_ok\r\n", answer(small));
        assertEquals("*1\r\n$5\r\nhb_ok\r\n", answer(collector));
        assertEquals(1, counters.value("streams.over_budget"));
    }

    /** Guards against a budget that is never given back, so that clients are rejected though nothing is held. */
    @Test
    void givesBackWhatEndedClientsHeld() throws Exception {
        startWithSmallBudget();
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            Socket client = connect(("*9\r\n$2000\r\n" + "x".repeat(1000)).getBytes(StandardCharsets.US_ASCII));
            clients.add(client);
        }
        for (Socket client : clients) {
            client.close();
        }
        await(() -> clientMemory.totalBytes() == 0);
    }
}
