package platform;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * The cases of the review, one for each number. Arguments: number, the file for the record, the repository's
 * root. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 */
final class Cases {
    private static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private Cases() {}

    public static void main(String[] args) throws Exception {
        int number = Integer.parseInt(args[0]);
        Path scratch = Files.createTempDirectory("review-" + number + "-");
        World world = null;
        int code = 2;
        try {
            Site site = site(number);
            world = new World(site, scratch, Path.of(args[1]), args[2], 40 + number);
            World w = world;
            w.recordFlows = true;
            // Also when the script is cut off.
            Runtime.getRuntime().addShutdownHook(new Thread(() -> {
                w.killAll();
                delete(scratch);
            }));
            w.say("case " + number + " site " + site.name + " trouble " + (TROUBLE ? 1 : 0));
            w.begin();
            if (w.awaitAllReady()) {
                switch (number) {
                    case 6 -> strangers(w);
                    case 7 -> lostRestore(w);
                    case 8 -> takeover(w);
                    case 9 -> pushedList(w);
                    case 10 -> hotKey(w);
                    default -> throw new IllegalArgumentException("no case " + number);
                }
                w.loop.submit(w::end).get();
                code = w.broken.isEmpty() ? 0 : 1;
                System.out.println(code == 0 ? "held" : "BROKEN " + w.broken.size() + " times, first: " + w.broken.get(0));
            } else {
                System.out.println("could not run: no coordinator was ready within 30 s");
            }
        } catch (IOException | RuntimeException failure) {
            failure.printStackTrace();
        } finally {
            if (world != null) {
                world.killAll();
            }
            delete(scratch);
        }
        System.exit(code);
    }

    private static void delete(Path folder) {
        if (!Files.exists(folder)) {
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException gone) {
            // Deleted meanwhile.
        }
    }

    private static Site site(int number) {
        return switch (number) {
            case 9 -> Site.dealer();
            case 8 -> {
                Site site = Site.bystrica();
                site.coordinators = 2;
                site.flowsPerS = 175;
                site.slices = 66;
                site.coldFrom = 0.2;
                site.coldSeconds = 18;
                site.takeoverMs = 2700;
                site.lateMs = 120;
                site.lateMostMs = 300;
                site.syncMs = 320;
                site.sliceSigma = 0.5;
                yield site;
            }
            case 10 -> {
                Site site = Site.bystrica();
                site.flowsPerS = 175;
                site.slices = 66;
                site.coldFrom = 0.2;
                site.coldSeconds = 18;
                site.sliceSigma = 0.5;
                site.lateMs = 120;
                site.lateMostMs = 300;
                yield site;
            }
            case 7 -> {
                Site site = Site.whk();
                site.coordinators = 1;
                site.flowsPerS = 200;
                site.bareMs = 6300;
                site.redialMs = 300;
                site.syncMs = 200;
                yield site;
            }
            default -> Site.bystrica();
        };
    }

    /** Strangers connect by the hundred; each sends half a message and waits for its answer. */
    private static void strangers(World w) throws Exception {
        World.sleep(8);
        StringBuilder half = new StringBuilder("*1024\r\n");
        for (int i = 0; i < 580; i++) {
            half.append("$1\r\na\r\n");
        }
        byte[] bytes = half.toString().getBytes(StandardCharsets.US_ASCII);
        int port = w.coordinators.get(0).listenPort;
        for (int wave = 0; wave < 4 && TROUBLE && w.broken.isEmpty(); wave++) {
            List<Socket> strangers = new ArrayList<>();
            try {
                while (strangers.size() < 890) {
                    Socket stranger = new Socket("127.0.0.1", port);
                    stranger.getOutputStream().write(bytes);
                    strangers.add(stranger);
                }
            } catch (IOException gone) {
                // The coordinator closed this one, or has ended.
            }
            int count = strangers.size();
            w.loop.execute(() -> w.say(count + " strangers connected; each sent " + bytes.length + " bytes, half a message"));
            World.sleep(4);
            for (Socket stranger : strangers) {
                stranger.close();
            }
            World.sleep(2);
        }
        World.sleep(4);
    }

    /** A rolling deploy, two servers at a time, where the settings say that the list is pushed. */
    private static void pushedList(World w) {
        World.sleep(8);
        if (TROUBLE) {
            double t = w.now();
            List<World.Server> first = new ArrayList<>(w.servers);
            for (int i = 0; i < 12; i++) {
                World.Server old = first.get(i);
                w.at(t + i / 2 * 5, () -> replace(w, old, 1.0, 4.9));
            }
        }
        World.sleep(42);
    }

    /** A server drains and ends; its successor starts cold at once and is listed after a while. */
    private static void replace(World w, World.Server old, double listedAfter, double endsAfter) {
        w.list(old, "DRAINING");
        World.Server fresh = w.addServer(false);
        fresh.listed = false;
        fresh.unlisted = true;
        w.at(w.now() + listedAfter, () -> {
            fresh.unlisted = false;
            w.list(fresh, "SERVING");
        });
        w.at(w.now() + endsAfter, () -> {
            old.up = false;
            w.say("server " + old.id + " has ended");
            w.list(old, "DELETED");
        });
    }

    /**
     * One of two coordinators is killed outright while six in ten servers are replaced within 7 s. TROUBLE=replace leaves
     * out the kill alone.
     */
    private static void takeover(World w) {
        World.sleep(20);
        if (TROUBLE) {
            double t = w.now();
            if (!"replace".equals(System.getenv("TROUBLE"))) {
                w.at(t, () -> w.killAndStart(w.coordinators.get(0), 12, false));
            }
            List<World.Server> first = new ArrayList<>(w.servers);
            for (int i = 0; i < 10; i++) {
                World.Server old = first.get(i);
                double drainsAt = i < 8 ? 0.95 + i / 2 * 0.35 : 3.2;
                // One successor is known when the slices change hands; the others come to the list a little later.
                double listedAfter = i == 4 ? 0.85 : 2.0;
                w.at(t + drainsAt, () -> replace(w, old, listedAfter, 4.9));
            }
        }
        World.sleep(12);
    }

    /**
     * A rolling deploy, two servers at a time, each drained when its successor is listed; once a slice stands on a cold
     * server, one of its keys draws 12% of all traffic. TROUBLE=replace leaves out the hot key alone.
     */
    private static void hotKey(World w) {
        World.sleep(20);
        if (TROUBLE) {
            double t = w.now();
            List<World.Server> first = new ArrayList<>(w.servers);
            for (int i = 0; i < 12; i++) {
                World.Server old = first.get(i);
                w.at(t + i / 2 * 4.5, () -> surge(w, old));
            }
            if (!"replace".equals(System.getenv("TROUBLE"))) {
                for (int i = 0; i < 500; i++) {
                    w.at(t + 0.05 * i, () -> heat(w));
                }
            }
        }
        World.sleep(36);
    }

    /** A successor starts cold; once it is listed, the server that it replaces drains, and ends later. */
    private static void surge(World w, World.Server old) {
        World.Server fresh = w.addServer(false);
        fresh.listed = false;
        fresh.unlisted = true;
        w.at(w.now() + 0.3, () -> {
            fresh.unlisted = false;
            w.list(fresh, "SERVING");
            w.list(old, "DRAINING");
        });
        w.at(w.now() + 5.2, () -> {
            old.up = false;
            w.say("server " + old.id + " has ended");
            w.list(old, "DELETED");
        });
    }

    /** Makes a key hot, once, as soon as most proxies have the line of its slice to a server that started just now. */
    private static void heat(World w) {
        if (w.hotSlice >= 0) {
            return;
        }
        for (int slice = 0; slice < w.owner.length; slice++) {
            for (World.Server server : w.servers) {
                int have = 0;
                if (w.now() - server.startedAt < 1.3) {
                    for (World.Proxy p : w.proxies) {
                        have += p.tables.get(slice).getOrDefault(server.id, 0.0) >= 1 ? 1 : 0;
                    }
                }
                if (have > w.proxies.size() / 2) {
                    w.hotSlice = slice;
                    w.hotShare = 0.12;
                    w.hotUntil = w.now() + 10;
                    w.say("a key of slice " + slice + " draws 12% of all traffic for 10 s; the slice stands on " + server.id);
                    return;
                }
            }
        }
    }

    /**
     * Servers die at once and come back cold. As the orders that let them back in are on their way, the coordinator's news
     * breaks and can't be had for 0.35 s, in which the streams of three proxies break and return. TROUBLE=crash
     * leaves out the breaks.
     */
    private static void lostRestore(World w) {
        World.sleep(10);
        World.Coordinator c = w.coordinators.get(0);
        if (TROUBLE) {
            double t = w.now();
            List<World.Server> dead = new ArrayList<>();
            w.at(t, () -> {
                for (int i = 0; i < 5; i++) {
                    World.Server server = w.servers.get(4 * i);
                    dead.add(server);
                    server.up = false;
                    w.say("server " + server.id + " died");
                }
            });
            w.at(t + 2, () -> dead.forEach(server -> w.list(server, "DELETED")));
            w.at(t + 8, () -> dead.forEach(w::restart));
            w.at(t + 9, () -> dead.forEach(server -> w.list(server, "SERVING")));
            if (!"crash".equals(System.getenv("TROUBLE"))) {
                w.onCall = (from, text) -> {
                    if (dead.stream().filter(server -> text.contains("restore," + server.id)).count() >= 3) {
                        w.onCall = (other, later) -> { };
                        w.at(w.now() + 0.005, () -> {
                            w.breakNews(c);
                            c.relayFault = "reset";
                            c.relayFaultUntil = w.now() + 0.35;
                            for (int i = 0; i < 3; i++) {
                                w.breakStream(c, w.proxies.get(i), 0.25);
                            }
                        });
                    }
                };
            }
        }
        World.sleep(95);
    }
}
