package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/** A plain proxy: it does as its tables say, tries once, and keeps what it holds when a coordinator is away. */
final class Proxy {
    final int id;
    final int zone;
    private final World world;
    private final Random random;
    /** Lines by slice as applied. Guarded by the world, as all state here. */
    final List<TreeMap<String, Double>> tables = new ArrayList<>();
    /** Withdrawals by the coordinator that ordered them; they hold for that coordinator's slices. */
    final Map<Integer, Set<String>> withdrawn = new HashMap<>();
    /** Coordinators that it has had a stream to since its start. */
    final Set<Integer> metBefore = new HashSet<>();
    /** When its stream to each coordinator was last joined; absent: not joined. */
    final Map<Integer, Long> joinedAtMs = new HashMap<>();

    Proxy(World world, int id, int zone) {
        this.world = world;
        this.id = id;
        this.zone = zone;
        this.random = new Random(1000 + id);
        world.store.forEach(lines -> tables.add(new TreeMap<>(lines)));
    }

    /** Reads a slice's table from the store. */
    void readStore(int slice) {
        synchronized (world) {
            tables.set(slice, new TreeMap<>(world.store.get(slice)));
        }
    }

    /** Applies one line of a message. */
    void apply(int coordinator, String order) {
        String[] words = order.split(",");
        switch (words[0]) {
            case "share" -> {
                TreeMap<String, Double> lines = tables.get(Integer.parseInt(words[1]));
                double weight = Double.parseDouble(words[3]);
                if (weight > 0) {
                    lines.put(words[2], weight);
                } else {
                    lines.remove(words[2]);
                }
            }
            case "clear" -> tables.get(Integer.parseInt(words[1])).clear();
            case "withdraw" -> withdrawals(coordinator).add(words[1]);
            case "restore" -> withdrawals(coordinator).remove(words[1]);
            default -> {
                // Levels are not heeded here; further tries are never made, which any order allows.
            }
        }
    }

    Set<String> withdrawals(int coordinator) {
        return withdrawn.computeIfAbsent(coordinator, c -> new HashSet<>());
    }

    /** Whether it has a line of a slice that it may use now. */
    boolean hasUsable(int slice) {
        Set<String> out = withdrawals(world.owner[slice]);
        for (String id : tables.get(slice).keySet()) {
            if (!out.contains(id)) {
                return true;
            }
        }
        return false;
    }

    /** The lines of a slice that it may use now. */
    Map<String, Double> usable(int slice) {
        Map<String, Double> lines = new TreeMap<>(tables.get(slice));
        lines.keySet().removeAll(withdrawals(world.owner[slice]));
        return lines;
    }

    void run() {
        double perMs = world.flowsPerS / world.proxyCount / 1000;
        long next = System.nanoTime();
        while (true) {
            next += (long) (-Math.log(1 - random.nextDouble()) / perMs * 1e6);
            World.sleep((next - System.nanoTime()) / 1_000_000);
            if (world.trafficOn) {
                int slice = drawSlice();
                World.Group group = drawGroup();
                World.thread("flow", () -> flow(slice, group));
            }
        }
    }

    private int drawSlice() {
        // Part of the traffic goes to a few slices in demand, the same ones for all proxies, for a while.
        if (random.nextDouble() < world.tide) {
            long turn = world.nowMs() / world.tideMs;
            return Math.floorMod(new Random(turn * 31 + random.nextInt(3)).nextInt(), world.sliceCount);
        }
        double sum = 0;
        for (double weight : world.sliceWeight) {
            sum += weight;
        }
        double at = random.nextDouble() * sum;
        for (int i = 0; i < world.sliceCount; i++) {
            at -= world.sliceWeight[i];
            if (at < 0) {
                return i;
            }
        }
        return 0;
    }

    private World.Group drawGroup() {
        double at = random.nextDouble();
        for (World.Group group : world.groups) {
            at -= group.share();
            if (at < 0) {
                return group;
            }
        }
        return world.groups.get(0);
    }

    private void flow(int slice, World.Group group) {
        long came = world.nowMs();
        String picked = null;
        Backend backend = null;
        while (true) {
            synchronized (world) {
                Map<String, Double> lines = usable(slice);
                double at = random.nextDouble() * lines.values().stream().mapToDouble(w -> w).sum();
                for (Map.Entry<String, Double> line : lines.entrySet()) {
                    at -= line.getValue();
                    if (at < 0 && picked == null) {
                        picked = line.getKey();
                    }
                }
                if (picked != null) {
                    backend = world.backends.get(picked);
                    world.judge.sent(this, slice, backend, group);
                    break;
                }
            }
            if (world.nowMs() - came >= world.holdMs) {
                break;
            }
            World.sleep(20);
        }
        long sent = world.nowMs();
        String outcome = picked == null ? "refused no-backend" : send(backend, group);
        long ended = world.nowMs();
        world.judge.ended(this, slice, group, backend, outcome, ended - sent);
        world.log("flow proxy " + id + " slice " + slice + " " + group.name() + " -> " + picked + ": " + outcome + " "
                + (ended - came) + " ms");
    }

    private String send(Backend backend, World.Group group) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", backend.port()), 250);
            socket.setSoTimeout(group.deadlineMs());
            OutputStream out = socket.getOutputStream();
            out.write(("GET /flow?work=" + group.workMs() + " HTTP/1.1\r\nhost: x\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
            String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            return answer.endsWith("ran " + backend.id) ? "answered" : "failed no-answer";
        } catch (IOException failure) {
            return "failed " + failure.getMessage();
        }
    }
}
