package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** One coordinator: its process, started with the deploy file's command, its platform side and its collectors. */
final class Coordinator {
    final int number;
    final String name;
    final Relay relay;
    private final World world;
    private final Http discovery;
    private final int port;
    private final Path folder;
    private Process process;
    private int life;
    /** When it answered a sign of life after its latest start; -1: not yet. */
    volatile long readyAtMs = -1;
    /** When it was told, in this life, that a backend drains or is gone. Guarded by the world. */
    final Map<String, Long> toldLeftAtMs = new HashMap<>();
    /** What its proxies met since the last report: tries, failures, total time. Guarded by the world. */
    private final Map<String, long[]> met = new TreeMap<>();
    private final Map<String, long[]> came = new TreeMap<>();
    volatile boolean ending;

    Coordinator(World world, int number, Path folder) throws IOException {
        this.world = world;
        this.number = number;
        this.name = "n" + number;
        this.folder = Files.createDirectories(folder.resolve(name));
        this.relay = new Relay(world, this);
        this.discovery = world.discovery.serve(this);
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            port = free.getLocalPort();
        }
        for (int zone = 0; zone < world.zones.size(); zone++) {
            int z = zone;
            World.thread("collector", () -> collect(z));
        }
    }

    /** Starts the process and waits until it answers a sign of life. */
    void start(String known) throws IOException {
        Path config = folder.resolve("config.json");
        String text = "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\""
                + discovery.address() + "\",\"seed\":\"" + String.format("%016x", 0x8c1f30d27a5be964L + number + life)
                + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":512},\"registry\":{\"address\":\""
                + relay.http.address() + "\"},\"known\":" + known + ",\"settings\":" + world.settingsJson(number) + "}";
        Files.writeString(config, text);
        Path tmp = Files.createDirectories(folder.resolve("tmp" + life));
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", Case.deployCommand("run"));
        builder.directory(Case.ROOT.toFile());
        builder.environment().putAll(Map.of("RELAY_NAME", name, "RELAY_LISTEN", "127.0.0.1:" + port, "RELAY_DISCOVERY",
                discovery.address(), "RELAY_CONFIG", config.toString(), "TMPDIR", tmp.toString()));
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.to(folder.resolve("log" + life).toFile()));
        synchronized (world) {
            toldLeftAtMs.clear();
            readyAtMs = -1;
        }
        process = builder.start();
        Files.writeString(folder.resolveSibling("pids"), process.pid() + "\n", StandardOpenOption.CREATE,
                StandardOpenOption.APPEND);
        life++;
        ending = false;
        world.say("coordinator " + name + " started, life " + life);
        Process mine = process;
        World.thread("watch", () -> {
            try {
                int code = mine.waitFor();
                world.say("coordinator " + name + " ended with " + code);
                if (!ending) {
                    world.judge.crashed(name + " ended by itself with " + code);
                }
            } catch (InterruptedException end) {
                Thread.currentThread().interrupt();
            }
        });
        long limit = world.nowMs() + 30_000;
        while (world.nowMs() < limit && readyAtMs < 0 && process.isAlive()) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress("127.0.0.1", port), 200);
                socket.setSoTimeout(1000);
                socket.getOutputStream().write(resp("hb"));
                byte[] answer = socket.getInputStream().readNBytes(4);
                if (answer.length == 4) {
                    readyAtMs = world.nowMs();
                }
            } catch (IOException notYet) {
                World.sleep(20);
            }
        }
        if (readyAtMs < 0) {
            throw new IOException(name + " was not ready within 30 s");
        }
        world.say("coordinator " + name + " answers signs of life");
    }

    /** Ends the process: TERM, then KILL 0.7 s later if it still runs; or KILL at once. */
    void stop(boolean planned) throws Exception {
        ending = true;
        world.say("coordinator " + name + " gets " + (planned ? "TERM" : "KILL"));
        if (planned) {
            new ProcessBuilder("kill", "-TERM", String.valueOf(process.pid())).start().waitFor();
        } else {
            process.destroyForcibly();
        }
        if (!process.waitFor(700, TimeUnit.MILLISECONDS)) {
            process.destroyForcibly().waitFor();
        }
        synchronized (world) {
            readyAtMs = -1;
            relay.coordinatorDied();
        }
    }

    void end() {
        ending = true;
        if (process != null) {
            process.destroyForcibly();
            try {
                process.waitFor();
            } catch (InterruptedException end) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** Discovery has written a backend's state to it. */
    void told(Backend backend) {
        if (backend.listed.equals("SERVING")) {
            toldLeftAtMs.remove(backend.id);
        } else if (toldLeftAtMs.putIfAbsent(backend.id, world.nowMs()) == null) {
            world.log("told " + name + " that " + backend.id + " is " + backend.listed);
        }
    }

    // ---- Reports

    void count(Proxy proxy, int slice, World.Group group, Backend backend, boolean answered, long tookMs) {
        if (backend != null) {
            add(met, proxy.zone + " " + backend.id, answered, tookMs);
        }
        add(came, slice + " " + group.name(), answered, tookMs);
    }

    private static void add(Map<String, long[]> sums, String key, boolean answered, long tookMs) {
        long[] sum = sums.computeIfAbsent(key, k -> new long[3]);
        sum[0]++;
        sum[1] += answered ? 0 : 1;
        sum[2] += answered ? tookMs : 0;
    }

    private void collect(int zone) {
        while (true) {
            World.sleep(100);
            if (readyAtMs < 0) {
                continue;
            }
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress("127.0.0.1", port), 500);
                OutputStream out = socket.getOutputStream();
                InputStream in = socket.getInputStream();
                out.write(resp("telemetry", "site", world.zones.get(zone)));
                while (in.available() == 0 && readyAtMs >= 0) {
                    World.sleep(world.periodMs);
                    List<byte[]> reports = reports(zone);
                    World.sleep(world.heardLateMs);
                    for (byte[] report : reports) {
                        out.write(report);
                    }
                }
            } catch (IOException again) {
                // Comes again.
            }
        }
    }

    private List<byte[]> reports(int zone) {
        String over = (world.periodMs + world.heardLateMs) + ".0";
        List<byte[]> reports = new ArrayList<>();
        synchronized (world) {
            met.entrySet().removeIf(e -> {
                String[] key = e.getKey().split(" ");
                if (!key[0].equals(String.valueOf(zone))) {
                    return false;
                }
                long[] sum = e.getValue();
                long good = sum[0] - sum[1];
                Backend backend = world.backends.get(key[1]);
                List<String> words = new ArrayList<>(List.of("upstream_stats", "site", world.zones.get(zone), "target",
                        key[1], "count", "" + sum[0], "fail", "" + sum[1], "mean",
                        (good == 0 ? 0 : sum[2] / good) + ".0", "over", over));
                if (good > 0) {
                    words.addAll(List.of("util", world.report + ":" + backend.util()));
                }
                reports.add(resp(words.toArray(new String[0])));
                return true;
            });
            if (zone == 0) {
                came.forEach((k, sum) -> {
                    String[] key = k.split(" ");
                    reports.add(resp("range_stats", "range", key[0], "lane", key[1], "count", "" + sum[0], "fail",
                            "" + sum[1], "over", over));
                });
                came.clear();
            }
        }
        return reports;
    }

    private static byte[] resp(String... words) {
        StringBuilder text = new StringBuilder("*" + words.length + "\r\n");
        for (String word : words) {
            text.append("$").append(word.length()).append("\r\n").append(word).append("\r\n");
        }
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }
}
