package review;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** The list of backends. It handles calls one after another; each coordinator has an address of its own. */
final class Discovery {
    private final World world;
    private long generation = 40;
    private final Object queue = new Object();

    Discovery(World world) {
        this.world = world;
    }

    /** Lists a backend in a state; watches are told at once. */
    void list(Backend backend, String state) {
        synchronized (world) {
            backend.listed = state;
            backend.generation = ++generation;
            world.notifyAll();
        }
        world.log("list " + backend.id + " " + state + " generation " + generation);
    }

    private static String entry(Backend b) {
        return "{\"instanceId\":\"" + b.id + "\",\"hostPort\":\"" + b.address() + "\",\"zone\":\"" + b.zone
                + "\",\"machineType\":\"KIND\",\"cell\":" + b.cell + ",\"lifecycle\":\"" + b.listed
                + "\",\"weight\":1.0,\"startedAtMs\":" + b.startedAtMs + "}";
    }

    /** The list in discovery's form: whole, or what changed since a generation. */
    private String json(long since, List<Backend> told) {
        List<String> entries = new ArrayList<>();
        for (Backend b : world.backends.values()) {
            if (since < 0 ? !b.listed.equals("DELETED") : b.generation > since) {
                entries.add(entry(b).replace("KIND", world.kind));
            }
            if (since < 0 || b.generation > since) {
                told.add(b);
            }
        }
        return "{\"generation\":" + generation + ",\"reset\":" + (since < 0) + ",\"instances\":["
                + String.join(",", entries) + "]}";
    }

    /** The list as a coordinator has it now, for its configuration. */
    String known() {
        synchronized (world) {
            return json(-1, new ArrayList<>());
        }
    }

    /** Serves a coordinator at an address of its own. */
    Http serve(Coordinator to) throws IOException {
        return new Http("discovery", (socket, method, target, body) -> answer(to, socket, target));
    }

    private boolean answer(Coordinator to, Socket socket, String target) throws Exception {
        long since = number(target, "from=");
        long holdMs = number(target, "hold_ms=");
        synchronized (queue) {
            World.sleep(world.discoveryCallMs);
        }
        String json;
        List<Backend> told = new ArrayList<>();
        synchronized (world) {
            long end = world.nowMs() + Math.max(0, holdMs);
            while (since >= 0 && generation <= since && world.nowMs() < end) {
                world.wait(Math.max(1, end - world.nowMs()));
            }
            json = json(since, told);
        }
        Http.reply(socket, 200, "content-type: application/json\r\n", json);
        synchronized (world) {
            told.forEach(b -> to.told(b));
        }
        if (since < 0 || holdMs == 0) {
            world.log("discovery answers " + to.name + " " + target + " entries told " + told.size());
        }
        return true;
    }

    private static long number(String target, String name) {
        int at = target.indexOf(name);
        if (at < 0) {
            return -1;
        }
        String rest = target.substring(at + name.length());
        return Long.parseLong(rest.contains("&") ? rest.substring(0, rest.indexOf('&')) : rest);
    }
}
