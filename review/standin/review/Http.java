package review;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server on a free loopback port, one thread for each connection. */
final class Http {
    /** Handles one request; returns false if the connection is to be closed. */
    interface Handler {
        boolean handle(Socket socket, String method, String target, String body) throws Exception;
    }

    final ServerSocket server;
    private final Handler handler;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private volatile boolean closed;

    Http(String name, Handler handler) throws IOException {
        this.handler = handler;
        this.server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        World.thread(name, this::accept);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    private void accept() {
        while (!closed) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                open.add(socket);
                World.thread("conn", () -> serve(socket));
            } catch (IOException end) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = socket.getInputStream();
            while (!closed) {
                String first = line(in);
                if (first == null) {
                    return;
                }
                int length = 0;
                for (String header = line(in); header != null && !header.isEmpty(); header = line(in)) {
                    if (header.toLowerCase().startsWith("content-length:")) {
                        length = Integer.parseInt(header.substring(15).trim());
                    }
                }
                String body = new String(in.readNBytes(length), StandardCharsets.UTF_8);
                String[] words = first.split(" ");
                if (!handler.handle(socket, words[0], words[1], body)) {
                    return;
                }
            }
        } catch (Exception end) {
            // The connection is over.
        } finally {
            open.remove(socket);
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream text = new ByteArrayOutputStream(128);
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                return null;
            }
            if (b != '\r') {
                text.write(b);
            }
        }
        return text.toString(StandardCharsets.UTF_8);
    }

    static void reply(Socket socket, int status, String headers, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        String head = "HTTP/1.1 " + status + " x\r\n" + headers + "content-length: " + bytes.length + "\r\n\r\n";
        OutputStream out = socket.getOutputStream();
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.getBytes(StandardCharsets.US_ASCII));
        all.write(bytes);
        out.write(all.toByteArray());
        out.flush();
    }

    /** Closes the server and resets its connections, as when a process dies. */
    void die() {
        closed = true;
        try {
            server.close();
            for (Socket socket : open) {
                socket.setSoLinger(true, 0);
                socket.close();
            }
        } catch (IOException ignored) {
            // Already closed.
        }
    }
}
