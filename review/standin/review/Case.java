package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Consumer;

/** What the cases share: the deploy file, the deployments' figures, and the run of a script. */
final class Case {
    /** The root of the repository; scripts start there. */
    static final Path ROOT = Path.of("").toAbsolutePath();
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    /** Single disruptions to leave out, to tell which one matters. */
    private static final String WITHOUT = String.valueOf(System.getenv("WITHOUT"));

    private Case() {}

    /** Whether a disruption is to happen. */
    static boolean trouble(String name) {
        return TROUBLE && !List.of(WITHOUT.split(",")).contains(name);
    }

    /** What happens, and then whether the rule was broken. */
    interface Script {
        boolean play(World world) throws Exception;
    }

    /** Returns a command of the deploy file. */
    static String deployCommand(String key) throws IOException {
        for (String line : Files.readAllLines(ROOT.resolve("deploy/balancer.toml"))) {
            if (line.startsWith(key + " = \"")) {
                String rest = line.substring(key.length() + 4);
                return rest.substring(0, rest.indexOf('"', 0));
            }
        }
        throw new IOException("no " + key + " in deploy/balancer.toml");
    }

    /** bystrica-returns, in service on the platform, at its size of the first brief. */
    static void bystrica(World w) {
        w.site = "bystrica-returns";
        w.zones = List.of("hall-a", "hall-b", "hall-c");
        w.kind = "six-core";
        w.groups = List.of(
                new World.Group("claim-status", 0.48, 235, 1200, 4000, 1, "repeatable", false),
                new World.Group("refund-quote", 0.32, 350, 2000, 5000, 3, "repeatable", false),
                new World.Group("book-pickup", 0.20, 235, 1000, 2500, 2, "once", true));
        w.servers = 16;
        w.proxyCount = 8;
        w.sliceCount = 80;
        w.linesPerS = 5500;
        w.head = 12;
        w.backlog = 5500;
        w.lateMinMs = 80;
        w.lateMaxMs = 460;
        w.warmMs = 18_000;
        w.coldShare = 0.2;
        w.fallMultiple = 2.5;
        w.fallMs = 2000;
        w.holdMs = 500;
        w.flowsPerS = 100;
        w.tide = 0.1;
    }

    /** whk-placements, the other customer. */
    static void whk(World w) {
        w.site = "whk-placements";
        w.zones = List.of("eros", "olympia", "prosperita", "klein-whk");
        w.kind = "std-6core";
        w.groups = List.of(
                new World.Group("vacancy-search", 0.43, 310, 2000, 6000, 2, "repeatable", false),
                new World.Group("centre-info", 0.33, 205, 1200, 4000, 1, "repeatable", false),
                new World.Group("place-reserve", 0.24, 205, 1200, 3000, 2, "once", true));
        w.servers = 28;
        w.proxyCount = 10;
        w.sliceCount = 140;
        w.linesPerS = 12_000;
        w.head = 16;
        w.backlog = 18_000;
        w.messagesMost = 12;
        w.lateMinMs = 100;
        w.lateMaxMs = 380;
        w.warmMs = 15_000;
        w.coldShare = 0.2;
        w.fallMultiple = 4;
        w.fallMs = 2000;
        w.holdMs = 200;
        w.throttle = "fraction";
        w.report = "pending";
        w.flowsPerS = 200;
        w.tide = 0.05;
    }

    /** Plays a script and ends the process: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
    static void run(Path record, Path temporary, Consumer<World> site, int coordinators, Script script) {
        int code = 2;
        World world = null;
        World.after(117_000, () -> Runtime.getRuntime().halt(2));
        try {
            world = new World(record);
            World mine = world;
            Runtime.getRuntime().addShutdownHook(new Thread(() -> mine.coordinators.forEach(Coordinator::end)));
            site.accept(world);
            world.say("site " + world.site + " trouble " + (TROUBLE ? 1 : 0));
            world.start();
            for (int i = 0; i < coordinators; i++) {
                world.coordinators.add(new Coordinator(world, i, temporary));
            }
            for (int slice = 0; slice < world.sliceCount; slice++) {
                world.give(slice, slice % coordinators);
            }
            synchronized (world) {
                for (Coordinator c : world.coordinators) {
                    for (Proxy proxy : world.proxies) {
                        c.relay.join(proxy);
                    }
                }
            }
            for (Coordinator c : world.coordinators) {
                c.start(world.discovery.known());
            }
            World.thread("judge", world.judge::watch);
            world.startTraffic();
            boolean broken = script.play(world);
            world.trafficOn = false;
            world.judge.report();
            if (!broken && !world.judge.crashes.isEmpty()) {
                throw new IllegalStateException("a coordinator ended by itself");
            }
            world.say(broken ? "RULE BROKEN" : "rule held");
            code = broken ? 1 : 0;
        } catch (Exception failure) {
            failure.printStackTrace();
            if (world != null) {
                world.say("could not run: " + failure);
            }
        }
        if (world != null) {
            world.coordinators.forEach(Coordinator::end);
            world.closeRecord();
        }
        Runtime.getRuntime().halt(code);
    }

    /** Waits until that time of the run. */
    static void until(World world, double seconds) {
        World.sleep((long) (seconds * 1000) - world.nowMs());
    }
}
