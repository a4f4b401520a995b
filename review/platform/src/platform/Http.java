package platform;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server on loopback; one thread for each connection. */
final class Http implements AutoCloseable {
    interface Handler {
        void handle(Connection from, String method, String target, String body);
    }

    /** One accepted connection; answers may be written later, from any thread. */
    static final class Connection {
        final Socket socket;
        volatile boolean ended;

        Connection(Socket socket) {
            this.socket = socket;
        }

        synchronized void write(String text) {
            try {
                socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
            } catch (IOException gone) {
                close();
            }
        }

        void answer(int status, String type, String body) {
            write("HTTP/1.1 " + status + (status == 200 ? " OK" : " Unavailable") + "\r\ncontent-type: " + type
                    + "\r\ncontent-length: " + body.length() + "\r\n\r\n" + body);
        }

        void close() {
            ended = true;
            try {
                socket.close();
            } catch (IOException ignored) {
                // Closed already.
            }
        }

        void reset() {
            try {
                socket.setSoLinger(true, 0);
            } catch (IOException ignored) {
                // Closed already.
            }
            close();
        }
    }

    final ServerSocket server;
    final Set<Connection> open = ConcurrentHashMap.newKeySet();
    private final Handler handler;

    Http(Handler handler) throws IOException {
        this.handler = handler;
        server = new ServerSocket();
        server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 128);
        thread(this::acceptAll);
    }

    static void thread(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    private void acceptAll() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                Connection connection = new Connection(socket);
                open.add(connection);
                thread(() -> serve(connection));
            } catch (IOException closed) {
                // The loop ends if the server was closed.
            }
        }
    }

    private void serve(Connection connection) {
        try {
            InputStream in = new BufferedInputStream(connection.socket.getInputStream());
            while (true) {
                String first = line(in);
                if (first == null) {
                    break;
                }
                int length = 0;
                for (String header = line(in); header != null && !header.isEmpty(); header = line(in)) {
                    if (header.toLowerCase().startsWith("content-length:")) {
                        length = Integer.parseInt(header.substring(15).trim());
                    }
                }
                String body = new String(in.readNBytes(length), StandardCharsets.US_ASCII);
                String[] words = first.split(" ");
                handler.handle(connection, words[0], words[1], body);
            }
        } catch (IOException | RuntimeException ended) {
            // The connection is over.
        }
        connection.close();
        open.remove(connection);
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                return null;
            }
            if (b != '\r') {
                line.write(b);
            }
        }
        return line.toString(StandardCharsets.US_ASCII);
    }

    void resetAll() {
        open.forEach(Connection::reset);
    }

    /** Accepts nothing more; what is open stays open. */
    void stopAccepting() {
        try {
            server.close();
        } catch (IOException ignored) {
            // Closed already.
        }
    }

    @Override
    public void close() {
        stopAccepting();
        open.forEach(Connection::close);
    }
}
