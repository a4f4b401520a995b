package puffinbarrow.coordinator;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import puffinbarrow.net.Net;

/**
 * The addresses that a coordinator listens on, written to and read from its port-file; and a client of its admin
 * listener.
 */
public record CoordinatorAddresses(InetSocketAddress listen, InetSocketAddress admin) {
    private static final int CONNECT_TIMEOUT_MS = 2000;
    private static final int ANSWER_TIMEOUT_MS = 5000;

    /** Writes the port-file under a temporary name and renames it, so that no reader sees a partial file. */
    void write(Path file) throws IOException {
        Path part = file.resolveSibling(file.getFileName() + ".part");
        Files.writeString(part, "listen " + Net.formatAddress(listen) + "\nadmin " + Net.formatAddress(admin) + "\n");
        Files.move(part, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    /** Reads a port-file. */
    public static CoordinatorAddresses read(Path file) throws IOException {
        InetSocketAddress listen = null;
        InetSocketAddress admin = null;
        for (String line : Files.readAllLines(file)) {
            if (line.startsWith("listen ")) {
                listen = address(line.substring(7));
            } else if (line.startsWith("admin ")) {
                admin = address(line.substring(6));
            }
        }
        if (listen == null || admin == null) {
            throw new IOException(file + ": not a port-file, expected lines 'listen' and 'admin'");
        }
        return new CoordinatorAddresses(listen, admin);
    }

    /** Parses ADDRESS:PORT; throws an IOException that quotes the text if it is anything else. */
    public static InetSocketAddress address(String text) throws IOException {
        if (!text.matches("(?s).*:[0-9]{1,5}")) {
            throw new IOException("found '" + text + "', expected ADDRESS:PORT or a port-file");
        }
        return Net.parseAddress(text);
    }

    /** Sends one line to an admin listener and returns its whole answer. */
    public static String ask(InetSocketAddress admin, String request) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(admin, CONNECT_TIMEOUT_MS);
            socket.setSoTimeout(ANSWER_TIMEOUT_MS);
            socket.getOutputStream().write((request + "\n").getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
