package review;

import java.io.IOException;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** A backend with a few cores. It is cold after a start: its capacity rises evenly to the full over the warm-up time. */
final class Backend {
    final String id;
    final String zone;
    final int cell;
    private final World world;
    volatile long startedAtMs;
    private volatile Http http;
    private volatile Semaphore cores;
    private final AtomicInteger inHand = new AtomicInteger();
    volatile boolean running = true;
    /** State in discovery's list: SERVING, DRAINING, or DELETED. */
    volatile String listed = "SERVING";
    long generation;

    Backend(World world, String id, String zone, int cell, long startedAtMs) throws IOException {
        this.world = world;
        this.id = id;
        this.zone = zone;
        this.cell = cell;
        start(startedAtMs);
    }

    private void start(long at) throws IOException {
        startedAtMs = at;
        cores = new Semaphore(world.cores);
        http = new Http("backend", (socket, method, target, body) -> {
            if (target.startsWith("/-/")) {
                Http.reply(socket, 200, "", "TEXT " + world.report + "=" + util());
                return true;
            }
            int work = Integer.parseInt(target.substring(target.indexOf("work=") + 5));
            inHand.incrementAndGet();
            Semaphore mine = cores;
            mine.acquire();
            try {
                World.sleep((long) (work / warmth()));
            } finally {
                mine.release();
                inHand.decrementAndGet();
            }
            Http.reply(socket, 200, "x-pressure: " + world.report + "=" + util() + "\r\nconnection: close\r\n", "ran " + id);
            return false;
        });
        running = true;
    }

    String address() {
        return http.address();
    }

    int port() {
        return http.server.getLocalPort();
    }

    double warmth() {
        long age = System.currentTimeMillis() - startedAtMs;
        return startedAtMs == 0 || age > world.warmMs
                ? 1
                : world.coldShare + (1 - world.coldShare) * age / world.warmMs;
    }

    double util() {
        return Math.min(1, inHand.get() / (double) world.cores);
    }

    /** The process dies: its connections are reset, new ones refused. */
    void die() {
        running = false;
        synchronized (world) {
            world.judge.gone.put(id, world.nowMs());
        }
        http.die();
        world.say("backend " + id + " dies");
    }

    /** The process comes back under the same id, cold. */
    void comeBack() throws IOException {
        start(System.currentTimeMillis());
        synchronized (world) {
            world.judge.gone.remove(id);
        }
        world.say("backend " + id + " comes back cold");
    }
}
