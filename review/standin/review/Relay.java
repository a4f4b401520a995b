package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The relay as one coordinator sees it: calls, news and the channel to the proxies. */
final class Relay {
    private record Message(Proxy proxy, List<String> lines, int mark, long epoch, long orderedMs) {}

    private final World world;
    private final Coordinator coordinator;
    final Http http;
    private final ArrayDeque<Message> channel = new ArrayDeque<>();
    private final List<Socket> streams = new ArrayList<>();
    private final Map<Integer, Long> lastDeliveryMs = new HashMap<>();
    /** Times of the messages written to each proxy since it joined. */
    private final Map<Integer, ArrayDeque<Long>> written = new HashMap<>();
    private long epoch;
    /** Whether the coordinator has ended since its news last began. */
    private boolean newLife;
    double waitingLines;
    double maxWaitingLines;
    int maxMessages;
    int calls;
    /** What happens to the next calls: answered, or one of the ways in which the users' page lets a call break. */
    enum Fate {
        ANSWERED,
        TAKEN_UNANSWERED,
        TAKEN_RESET,
        TAKEN_UNREADABLE,
        NOT_TAKEN_UNANSWERED,
        NOT_TAKEN_RESET
    }

    /** Withdrawals of backends that run and are listed as SERVING, with their time. */
    private final Map<String, Long> withdrawnLive = new TreeMap<>();

    volatile Fate fate = Fate.ANSWERED;

    Relay(World world, Coordinator coordinator) throws IOException {
        this.world = world;
        this.coordinator = coordinator;
        this.http = new Http("relay", this::handle);
        World.thread("channel", this::sendMessages);
        World.thread("life", this::signsOfLife);
    }

    private boolean handle(Socket socket, String method, String target, String body) throws Exception {
        if (target.equals("/api/stream")) {
            synchronized (world) {
                Socket out = socket;
                out.getOutputStream().write(("HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
                        + "transfer-encoding: chunked\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
                StringBuilder state = new StringBuilder();
                for (Proxy proxy : world.proxies) {
                    if (proxy.joinedAtMs.containsKey(coordinator.number)) {
                        state.append(attach(proxy));
                    }
                }
                for (int slice = 0; slice < world.sliceCount; slice++) {
                    if (world.owner[slice] == coordinator.number) {
                        state.append(giving(slice));
                    }
                }
                streams.add(out);
                write(out, state.toString());
                if (newLife) {
                    // To a coordinator that started anew all proxies join anew, and read the store within a second.
                    newLife = false;
                    world.proxies.forEach(this::readStoreSoon);
                }
                world.log("relay: news for " + coordinator.name + " begin");
            }
            while (socket.getInputStream().read() >= 0) {
                // A connection like this takes no more calls.
            }
            synchronized (world) {
                streams.remove(socket);
            }
            return false;
        }
        String form = body.substring(body.indexOf("changes=") + 8);
        List<String> orders = List.of(URLDecoder.decode(form, StandardCharsets.UTF_8).split(";"));
        int taken = 0;
        Fate now = fate;
        synchronized (world) {
            if (!now.name().startsWith("NOT_TAKEN")) {
                taken = take(orders);
            }
        }
        world.log("relay: call " + ++calls + " of " + coordinator.name + " " + now + " taken " + taken + " of " + orders.size() + ": "
                + String.join(";", orders));
        if (now.name().endsWith("UNANSWERED")) {
            return true;
        } else if (now.name().endsWith("RESET")) {
            socket.setSoLinger(true, 0);
            return false;
        } else if (now == Fate.TAKEN_UNREADABLE) {
            Http.reply(socket, 200, "content-type: text/xml\r\n", "<?xml version=\"1.0\"?>\n<Response><items><it");
            return true;
        }
        Http.reply(socket, 200, "content-type: text/xml\r\n",
                "<?xml version=\"1.0\"?>\n<Response><items><item><ok_count>" + taken
                        + "</ok_count></item></items></Response>");
        return true;
    }

    private String attach(Proxy proxy) {
        boolean fresh = proxy.metBefore.add(coordinator.number);
        return event("attach", "id=" + proxy.id + "&site=" + world.zones.get(proxy.zone) + "&rps="
                + world.flowsPerS / world.proxyCount + "&new=" + (fresh ? 1 : 0));
    }

    private String giving(int slice) {
        StringBuilder text = new StringBuilder(event("owner", "range=" + slice + "&flag=1"));
        world.store.get(slice).forEach((server, weight) ->
                text.append(event("entry", "range=" + slice + "&target=" + server + "&rps=" + weight)));
        return text.toString();
    }

    private static String event(String type, String data) {
        return "event: " + type + "\ndata: " + data + "\n\n";
    }

    private void write(Socket stream, String text) {
        if (text.isEmpty()) {
            return;
        }
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        try {
            OutputStream out = stream.getOutputStream();
            out.write((Integer.toHexString(bytes.length) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.UTF_8));
            out.flush();
        } catch (IOException gone) {
            streams.remove(stream);
        }
    }

    private void news(String text) {
        for (Socket stream : List.copyOf(streams)) {
            write(stream, text);
        }
    }

    private void signsOfLife() {
        while (true) {
            World.sleep(1000);
            synchronized (world) {
                news(":\n\n");
            }
        }
    }

    /** Breaks off the news. */
    void breakNews() {
        synchronized (world) {
            for (Socket stream : streams) {
                try {
                    stream.setSoLinger(true, 0);
                    stream.close();
                } catch (IOException ignored) {
                    // Closed already.
                }
            }
            streams.clear();
        }
    }

    List<String> withdrawnLive(long fromMs, long toMs) {
        return withdrawnLive.entrySet().stream()
                .filter(e -> e.getValue() >= fromMs && e.getValue() <= toMs)
                .map(e -> e.getKey().split(" ")[1])
                .toList();
    }

    int streamCount() {
        synchronized (world) {
            return streams.size();
        }
    }

    /** Tells that a slice was given or taken away. */
    void tellOwner(int slice, boolean given) {
        news(given ? giving(slice) : event("owner", "range=" + slice + "&flag=0"));
    }

    /** A proxy's stream joins. */
    void join(Proxy proxy) {
        proxy.joinedAtMs.put(coordinator.number, world.nowMs());
        written.remove(proxy.id);
        news(attach(proxy));
        readStoreSoon(proxy);
    }

    /** A proxy that joins reads its slices from the store within a second. */
    private void readStoreSoon(Proxy proxy) {
        World.after(world.syncMs, () -> {
            synchronized (world) {
                for (int slice = 0; slice < world.sliceCount; slice++) {
                    if (world.owner[slice] == coordinator.number
                            && proxy.joinedAtMs.containsKey(coordinator.number)) {
                        proxy.readStore(slice);
                    }
                }
            }
        });
    }

    /** A proxy's stream breaks: what waits or travels for it is lost; it keeps what it holds. */
    void leave(Proxy proxy) {
        proxy.joinedAtMs.remove(coordinator.number);
        channel.removeIf(message -> {
            if (message.proxy == proxy) {
                waitingLines -= cost(message);
                return true;
            }
            return false;
        });
        news(event("detach", "id=" + proxy.id));
    }

    /** The coordinator's process has ended: what waits or travels is lost. */
    void coordinatorDied() {
        synchronized (world) {
            epoch++;
            newLife = true;
            channel.clear();
            waitingLines = 0;
            streams.clear();
            written.clear();
        }
    }

    private double cost(Message message) {
        return world.head + message.lines.size() + (message.mark >= 0 ? 1 : 0);
    }

    /** Takes orders in turn and puts one message for each proxy concerned into the channel. */
    private int take(List<String> orders) {
        List<String> lines = new ArrayList<>();
        int mark = -1;
        boolean all = false;
        int taken = 0;
        for (String order : orders) {
            String[] words = order.split(",");
            boolean forProxies = true;
            switch (words[0]) {
                case "share", "clear" -> {
                    int slice = Integer.parseInt(words[1]);
                    if (words[0].equals("share") && !world.backends.containsKey(words[2])) {
                        return taken;
                    }
                    forProxies = world.owner[slice] == coordinator.number;
                    if (forProxies) {
                        TreeMap<String, Double> stored = world.store.get(slice);
                        if (words[0].equals("clear")) {
                            stored.clear();
                        } else if (Double.parseDouble(words[3]) > 0) {
                            stored.put(words[2], Double.parseDouble(words[3]));
                        } else {
                            stored.remove(words[2]);
                        }
                    }
                }
                case "withdraw", "restore" -> {
                    Backend backend = world.backends.get(words[1]);
                    if (backend == null) {
                        return taken;
                    }
                    if (words[0].equals("withdraw") && backend.running && backend.listed.equals("SERVING")) {
                        withdrawnLive.put(world.nowMs() + " " + words[1], world.nowMs());
                    }
                }
                case "mark" -> {
                    mark = Integer.parseInt(words[1]);
                    all = words[2].equals("1");
                    forProxies = false;
                }
                case "admit" -> forProxies = true;
                default -> {
                    return taken;
                }
            }
            if (forProxies) {
                lines.add(order);
            }
            taken++;
        }
        long now = world.nowMs();
        for (Proxy proxy : world.proxies) {
            if (proxy.joinedAtMs.containsKey(coordinator.number) && (all || !lines.isEmpty())) {
                Message message = new Message(proxy, lines, mark, epoch, now);
                channel.add(message);
                waitingLines += cost(message);
                ArrayDeque<Long> times = written.computeIfAbsent(proxy.id, p -> new ArrayDeque<>());
                times.add(now);
                while (now - times.peekFirst() > 10_000) {
                    times.pollFirst();
                }
                maxMessages = Math.max(maxMessages, times.size());
            }
        }
        maxWaitingLines = Math.max(maxWaitingLines, waitingLines);
        world.notifyAll();
        return taken;
    }

    /** Messages leave one after the other at the channel's pace and arrive in order, some time later. */
    private void sendMessages() {
        long freeNs = System.nanoTime();
        while (true) {
            Message message;
            synchronized (world) {
                while (channel.isEmpty()) {
                    try {
                        world.wait(100);
                    } catch (InterruptedException end) {
                        return;
                    }
                }
                message = channel.peekFirst();
            }
            freeNs = Math.max(freeNs, System.nanoTime()) + (long) (cost(message) / world.linesPerS * 1e9);
            World.sleep((freeNs - System.nanoTime()) / 1_000_000);
            synchronized (world) {
                if (channel.peekFirst() != message) {
                    continue;
                }
                channel.pollFirst();
                waitingLines -= cost(message);
                long late = world.lateMinMs + world.random.nextInt(world.lateMaxMs - world.lateMinMs + 1);
                long at = Math.max(world.nowMs() + late, lastDeliveryMs.getOrDefault(message.proxy.id, 0L));
                lastDeliveryMs.put(message.proxy.id, at);
                World.schedule(World.DELIVERY, at - world.nowMs(), () -> deliver(message));
            }
        }
    }

    private void deliver(Message message) {
        synchronized (world) {
            Long joined = message.proxy.joinedAtMs.get(coordinator.number);
            if (message.epoch != epoch || joined == null || joined > message.orderedMs) {
                return;
            }
            message.lines.forEach(line -> message.proxy.apply(coordinator.number, line));
            if (message.mark >= 0) {
                news(event("done", "id=" + message.proxy.id + "&seq=" + message.mark + "&ms="
                        + (world.nowMs() - message.orderedMs) + ".0"));
            }
        }
    }
}
