package platform;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;

/** Plays chance disruptions; a tool for the search, no case. */
final class Fuzz {
    public static void main(String[] args) throws Exception {
        long seed = Long.parseLong(args[0]);
        Site site = switch (args[1]) {
            case "whk" -> Site.whk();
            case "dealer" -> {
                Site asking = Site.dealer();
                asking.discoveryMode = "ask";
                asking.coordinators = 2;
                asking.flowsPerS = 90;
                yield asking;
            }
            case "kosice" -> Site.kosice();
            case "tight" -> {
                Site many = Site.bystrica();
                many.proxies = 45;
                many.servers = 18;
                many.slices = 110;
                many.linesPerS = 4900;
                many.lateMs = 440;
                many.lateMostMs = 900;
                many.flowsPerS = 160;
                yield many;
            }
            case "tight2" -> {
                Site many = Site.dealer();
                many.discoveryMode = "ask";
                many.proxies = 18;
                many.servers = 15;
                many.slices = 118;
                many.linesPerS = 2300;
                many.lateMs = 450;
                many.lateMostMs = 900;
                many.flowsPerS = 100;
                yield many;
            }
            default -> Site.bystrica();
        };
        Set<String> kinds = Set.of(args[2].split(","));
        double seconds = Double.parseDouble(args[3]);
        Path folder = Files.createDirectories(Path.of(args[4]));
        World w = new World(site, folder, args[5], seed);
        Random r = new Random(seed * 31 + 7);
        w.begin();
        if (!w.awaitAllReady()) {
            System.out.println("not ready");
            w.end();
            System.exit(2);
        }
        double t0 = w.now();
        List<String> list = new ArrayList<>(kinds);
        for (double t = t0 + 8; t < t0 + seconds - 10; t += Double.parseDouble(System.getProperty("gap", "6")) * (0.2 + 0.8 * r.nextDouble())) {
            String kind = list.get(r.nextInt(list.size()));
            w.at(t, () -> play(w, r, kind));
        }
        World.sleep(seconds);
        w.loop.submit(w::end).get();
        System.out.println("seed " + seed + " broken=" + w.broken.size() + " "
                + w.broken.stream().limit(3).toList());
        System.exit(w.broken.isEmpty() ? 0 : 1);
    }

    static void play(World w, Random r, String kind) {
        World.Coordinator c = w.coordinators.get(r.nextInt(w.coordinators.size()));
        List<World.Server> up = w.servers.stream().filter(s -> s.up && s.listed && s.lifecycle.equals("SERVING")).toList();
        World.Proxy p = w.proxies.get(r.nextInt(w.proxies.size()));
        w.say("trouble " + kind);
        switch (kind) {
            case "crash" -> {
                int n = 1 + r.nextInt(Math.max(1, up.size() / 4));
                for (int i = 0; i < n && up.size() > 6; i++) {
                    World.Server s = up.get(r.nextInt(up.size()));
                    s.up = false;
                    double notice = 0.5 + 3 * r.nextDouble();
                    double back = 8 + 10 * r.nextDouble();
                    w.at(w.now() + notice, () -> w.list(s, "DELETED"));
                    w.at(w.now() + back, () -> {
                        w.restart(s);
                        w.at(w.now() + 0.3 + r.nextDouble(), () -> w.list(s, "SERVING"));
                    });
                }
            }
            case "deploy" -> {
                int n = 1 + r.nextInt(Math.max(1, up.size() / 7));
                for (int i = 0; i < n && up.size() > 6; i++) {
                    World.Server s = up.get(r.nextInt(up.size()));
                    w.list(s, "DRAINING");
                    World.Server fresh = w.addServer(false);
                    fresh.listed = false;
                    fresh.unlisted = true;
                    w.at(w.now() + 0.5 + r.nextDouble(), () -> {
                        fresh.unlisted = false;
                        w.list(fresh, "SERVING");
                    });
                    w.at(w.now() + 4.9, () -> {
                        s.up = false;
                        w.list(s, "DELETED");
                    });
                }
            }
            case "join" -> {
                int n = Math.min(up.size() * 6 / 10, up.size() - 5);
                for (int i = 0; i < n; i++) {
                    World.Server s = up.get(i);
                    w.at(w.now() + 6.5 * i / n, () -> {
                        w.list(s, "DRAINING");
                        World.Server fresh = w.addServer(false);
                        fresh.listed = false;
                        fresh.unlisted = true;
                        w.at(w.now() + 0.3 + r.nextDouble(), () -> {
                            fresh.unlisted = false;
                            w.list(fresh, "SERVING");
                        });
                        w.at(w.now() + 4.9, () -> {
                            s.up = false;
                            w.list(s, "DELETED");
                        });
                    });
                }
            }
            case "flap" -> {
                World.Server s = up.get(r.nextInt(up.size()));
                w.list(s, "DRAINING");
                w.at(w.now() + 4 * r.nextDouble(), () -> w.list(s, "SERVING"));
            }
            case "bounce" -> {
                World.Server s = up.get(r.nextInt(up.size()));
                w.restart(s);
                w.at(w.now() + 0.5 + 2 * r.nextDouble(), () -> w.list(s, "SERVING"));
            }
            case "errors" -> {
                World.Server s = up.get(r.nextInt(up.size()));
                s.failShare = 0.37 + 0.5 * r.nextDouble();
                w.at(w.now() + 6 + 10 * r.nextDouble(), () -> s.failShare = 0);
            }
            case "slow" -> {
                World.Server s = up.get(r.nextInt(up.size()));
                s.slow = 3 + 5 * r.nextDouble();
                w.at(w.now() + 10 + 10 * r.nextDouble(), () -> s.slow = 1);
            }
            case "hot" -> {
                w.hotSlice = r.nextInt(w.owner.length);
                w.hotShare = 0.024 + 0.096 * r.nextDouble();
                w.hotUntil = w.now() + 5 + 15 * r.nextDouble();
            }
            case "kill", "term" -> {
                if (w.coordinators.stream().allMatch(o -> o.ready)) {
                    w.killAndStart(c, 0.8 + 3 * r.nextDouble(), kind.equals("term"));
                }
            }
            case "cut" -> {
                if (w.coordinators.stream().noneMatch(o -> o.cutOff || !o.ready)) {
                    w.cut(c, 2 + 6 * r.nextDouble());
                }
            }
            case "news" -> w.breakNews(c);
            case "lost" -> {
                c.loseAnswers = 0.5;
                w.at(w.now() + 6, () -> c.loseAnswers = 0);
            }
            case "hup" -> {
                if (c.ready && w.now() > c.readyAt + 2) {
                    w.reload(c);
                }
            }
            case "proxy" -> w.restartProxy(p, 0.5 + 2 * r.nextDouble());
            case "stream" -> w.breakStream(c, p, 0.45 + 2 * r.nextDouble());
            case "give" -> {
                int to = r.nextInt(w.coordinators.size());
                for (int i = 0; i < 10; i++) {
                    w.give(r.nextInt(w.owner.length), to);
                }
            }
            case "disco" -> {
                String[] faults = {"503", "reset", "silent"};
                c.discoveryFault = faults[r.nextInt(3)];
                c.discoveryFaultUntil = w.now() + 3 * r.nextDouble();
                w.freeze(c, 8);
                c.discovery.resetAll();
            }
            case "pace" -> {
                c.paceFactor = 1 / (2.6 + 2 * r.nextDouble());
                w.at(w.now() + 8, () -> c.paceFactor = 1);
            }
            case "burst" -> {
                w.loadFactor = 1.3;
                w.at(w.now() + 6, () -> w.loadFactor = 1);
            }
            default -> throw new IllegalArgumentException(kind);
        }
    }
}
