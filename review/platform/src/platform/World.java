package platform;

import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The platform around real coordinators: discovery, relay with store and channels, proxies, servers, collectors, and the
 * judge of the rules. All state belongs to the thread of {@link #loop}.
 */
final class World {
    /** Rules.AskWithinNs of the settings, in seconds. */
    static final double ASK_WITHIN_S = 10;

    static final class Server {
        String id;
        int port;
        int zone;
        int cell;
        String lifecycle = "SERVING";
        boolean listed = true;
        /** Started, but discovery does not know it yet. */
        boolean unlisted;
        boolean up = true;
        boolean silent;
        boolean fallen;
        long startedUnixMs;
        /** Start on the judge's clock; far in the past for a warm one. */
        double startedAt = -1e9;
        double failShare;
        double slow = 1;
        double[] coreFree;
        double util;
        /** Sends: time, work, known (1) or not. */
        final ArrayDeque<double[]> sent = new ArrayDeque<>();

        double mostRatio;
        int changedIn;
    }

    static final class Proxy {
        int id;
        int zone;
        double weight;
        boolean up = true;
        final Map<Integer, TreeMap<String, Double>> tables = new HashMap<>();
        boolean[] attached;
        int[] epoch;
        boolean[] holdsOrdered;
        /** When it joined, on the judge's clock of each coordinator. */
        double[] joinedAt;
        double[] lastArrival;
        double[] lastOrderedAt;
        List<TreeSet<String>> masks = new ArrayList<>();
        List<ArrayDeque<Double>> messages = new ArrayList<>();
        /** Per slice since when bare on the judge's clock of the owner; NaN: not bare. */
        double[] bareSince;
    }

    static final class Message {
        Proxy to;
        int epoch;
        double lines;
        double orderedAt;
        List<String[]> orders = new ArrayList<>();
        int mark = -1;
    }

    final class Coordinator {
        int number;
        Http discovery;
        Http relay;
        String discoveryFault = "";
        double discoveryFaultUntil;
        String relayFault = "";
        double relayFaultUntil;
        double loseAnswers;
        int listenPort;
        Process process;
        volatile boolean ready;
        boolean expectedEnd;
        double readyAt = Double.NaN;
        boolean cutOff;
        /** The judge's clock: seconds during which the rules' times ran. */
        double clock;
        double frozenUntil;
        final ArrayDeque<Message> channel = new ArrayDeque<>();
        double waiting;
        double mostWaiting;
        double budget;
        double paceFactor = 1;
        final List<Http.Connection> news = new ArrayList<>();
        /** A held watch: connection, generation, deadline. */
        final List<Object[]> watches = new ArrayList<>();
        /** When it last asked discovery. */
        double askedAt = -1e9;
        long asked;
        final Map<String, String> toldState = new HashMap<>();
        final Map<String, Double> toldAt = new HashMap<>();
        final Map<String, Long> toldStart = new HashMap<>();
        final Map<String, Double> startKnownAt = new HashMap<>();
        final Map<Integer, Double> givenAt = new HashMap<>();
        int toldGeneration;
        final List<LinkedBlockingQueue<String>> collectors = new ArrayList<>();
        final Map<String, double[]> upstream = new HashMap<>();
        final Map<String, int[]> range = new HashMap<>();
        int lives;
        long calls;
        boolean busy = true;
    }

    final Site site;
    final Random chance;
    final ScheduledThreadPoolExecutor loop = new ScheduledThreadPoolExecutor(1, work -> {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        return thread;
    });
    final long startNs = System.nanoTime();
    final PrintWriter record;
    final Path folder;
    final String root;
    final String run;
    final List<Server> servers = new ArrayList<>();
    final Map<String, Server> byId = new HashMap<>();
    final List<Proxy> proxies = new ArrayList<>();
    final List<Coordinator> coordinators = new ArrayList<>();
    final Map<Integer, TreeMap<String, Double>> store = new HashMap<>();
    final int[] owner;
    final double[] sliceWeight;
    int generation = 41;
    double lastTick;
    double lastJudge;
    final List<String> broken = new ArrayList<>();
    long flows;
    long refused;
    long failed;
    int nextServer;
    double hotUntil;
    int hotSlice = -1;
    double hotShare;
    double loadFactor = 1;
    /** Whether each flow is written to the record. */
    boolean recordFlows;
    private boolean ended;
    /** Told of each call that the relay took. */
    java.util.function.BiConsumer<Coordinator, String> onCall = (c, text) -> { };
    /** The few slices in demand for a while. */
    int[] tideSlices = {0, 1, 2};

    World(Site site, Path folder, String root, long seed) throws IOException {
        this(site, folder, folder.resolve("record.txt"), root, seed);
    }

    /** Keeps configurations and logs in the folder; the record goes to the file. */
    World(Site site, Path folder, Path recordFile, String root, long seed) throws IOException {
        this.site = site;
        this.folder = folder;
        this.root = root;
        this.chance = new Random(seed);
        loop.setRemoveOnCancelPolicy(true);
        record = new PrintWriter(Files.newBufferedWriter(recordFile), false);
        Matcher matcher = Pattern.compile("(?m)^run = \"(.*?)\"")
                .matcher(Files.readString(Path.of(root, "deploy", "balancer.toml")));
        if (!matcher.find()) {
            throw new IOException("no run command in deploy/balancer.toml");
        }
        run = matcher.group(1);
        owner = new int[site.slices];
        sliceWeight = new double[site.slices];
        for (int i = 0; i < site.servers; i++) {
            addServer(true);
        }
        double total = 0;
        for (int i = 0; i < site.slices; i++) {
            owner[i] = i % site.coordinators;
            sliceWeight[i] = Math.exp(site.sliceSigma * chance.nextGaussian());
            total += sliceWeight[i];
            store.put(i, new TreeMap<>(Map.of(servers.get(i % site.servers).id, 1.0)));
        }
        for (int i = 0; i < site.slices; i++) {
            sliceWeight[i] /= total;
        }
        for (int i = 0; i < site.coordinators; i++) {
            Coordinator c = new Coordinator();
            c.number = i;
            coordinators.add(c);
            c.discovery = new Http((from, method, target, body) -> loop.execute(() -> onDiscovery(c, from, target)));
            c.relay = new Http((from, method, target, body) -> loop.execute(() -> onRelay(c, from, method, target, body)));
            c.listenPort = freePort();
            servers.forEach(server -> tell(c, server));
            c.toldGeneration = generation;
        }
        for (int i = 0; i < site.proxies; i++) {
            Proxy p = new Proxy();
            p.id = i;
            p.zone = i % site.zones.length;
            p.weight = Math.exp(0.8 * chance.nextGaussian());
            p.attached = new boolean[site.coordinators];
            p.epoch = new int[site.coordinators];
            p.holdsOrdered = new boolean[site.coordinators];
            p.joinedAt = new double[site.coordinators];
            p.lastArrival = new double[site.coordinators];
            p.lastOrderedAt = new double[site.coordinators];
            p.bareSince = new double[site.slices];
            Arrays.fill(p.bareSince, Double.NaN);
            for (int c = 0; c < site.coordinators; c++) {
                p.masks.add(new TreeSet<>());
                p.messages.add(new ArrayDeque<>());
            }
            store.forEach((slice, lines) -> p.tables.put(slice, new TreeMap<>(lines)));
            proxies.add(p);
        }
    }

    /** A free port below those that the system gives to outgoing connections, so that it is free again at a restart. */
    static int freePort() throws IOException {
        Random any = new Random();
        while (true) {
            int port = 12000 + any.nextInt(18000);
            try (ServerSocket free = new ServerSocket(port, 1, java.net.InetAddress.getByName("127.0.0.1"))) {
                return free.getLocalPort();
            } catch (java.net.BindException taken) {
                // Another one is tried.
            }
        }
    }

    double now() {
        return (System.nanoTime() - startNs) / 1e9;
    }

    void say(String text) {
        record.println(String.format(Locale.ROOT, "%.3f %s", now(), text));
    }

    /** Runs the task on the loop's thread at the time, in seconds since the start. */
    void at(double when, Runnable task) {
        loop.schedule(
                () -> {
                    try {
                        task.run();
                    } catch (RuntimeException failure) {
                        failure.printStackTrace(record);
                    }
                },
                (long) (Math.max(0, when - now()) * 1e9),
                TimeUnit.NANOSECONDS);
    }

    void breach(String text) {
        broken.add(text);
        if (broken.size() < 60) {
            say("BROKEN " + text);
        }
    }

    // ---- Servers and discovery

    Server addServer(boolean warm) {
        Server s = new Server();
        s.id = "s-" + Integer.toHexString(0x5be20000 + 7919 * nextServer);
        s.port = 20000 + nextServer;
        s.zone = nextServer % site.zones.length;
        s.cell = nextServer / 4;
        nextServer++;
        s.coreFree = new double[(int) site.cores];
        if (!warm) {
            s.startedUnixMs = System.currentTimeMillis();
            s.startedAt = now();
        }
        s.changedIn = generation;
        servers.add(s);
        byId.put(s.id, s);
        return s;
    }

    /** Makes a change of the list known to discovery. */
    void list(Server s, String lifecycle) {
        s.lifecycle = lifecycle;
        s.listed = !lifecycle.equals("DELETED");
        s.changedIn = ++generation;
        say("list generation=" + generation + " " + s.id + " " + lifecycle + " startedAtMs=" + s.startedUnixMs);
        for (Coordinator c : coordinators) {
            // One that has neither watched nor asked for the settings' time counts as told of what was listed before.
            at(now() + ASK_WITHIN_S, () -> {
                if (c.ready && c.watches.isEmpty() && now() - Math.max(c.readyAt, c.askedAt) >= ASK_WITHIN_S - 0.01
                        && s.lifecycle.equals(lifecycle) && !lifecycle.equals(c.toldState.get(s.id))) {
                    say("c" + c.number + " has neither watched nor asked for " + ASK_WITHIN_S + " s; it counts as told");
                    tell(c, s);
                }
            });
        }
        coordinators.forEach(this::answerWatches);
    }

    /** Restarts a server under its id; cold. */
    void restart(Server s) {
        s.up = true;
        s.silent = false;
        s.fallen = false;
        s.startedUnixMs = System.currentTimeMillis();
        s.startedAt = now();
        Arrays.fill(s.coreFree, now());
        s.sent.clear();
        coordinators.forEach(c -> c.startKnownAt.remove(s.id));
        say("server " + s.id + " started, cold");
    }

    private String entry(Server s) {
        return "{\"instanceId\":\"" + s.id + "\",\"hostPort\":\"127.0.0.1:" + s.port + "\",\"zone\":\"" + site.zones[s.zone]
                + "\",\"machineType\":\"" + site.machine + "\",\"cell\":" + s.cell + ",\"lifecycle\":\"" + s.lifecycle
                + "\",\"weight\":1.0,\"startedAtMs\":" + s.startedUnixMs + "}";
    }

    private String listing(boolean whole, int from) {
        StringBuilder text = new StringBuilder();
        for (Server s : servers) {
            if (!s.unlisted && (whole ? s.listed : s.changedIn > from)) {
                text.append(text.length() > 0 ? "," : "").append(entry(s));
            }
        }
        return "{\"generation\":" + generation + ",\"reset\":" + whole + ",\"instances\":[" + text + "]}";
    }

    private void tell(Coordinator c, Server s) {
        String previous = c.toldState.put(s.id, s.lifecycle);
        boolean leaves = !s.lifecycle.equals("SERVING");
        if (leaves && !c.toldAt.containsKey(s.id)) {
            c.toldAt.put(s.id, c.clock);
        } else if (!leaves) {
            c.toldAt.remove(s.id);
        }
        Long start = c.toldStart.put(s.id, s.startedUnixMs);
        if (start == null && s.startedUnixMs > 0 || start != null && start != s.startedUnixMs) {
            c.startKnownAt.put(s.id, now());
        }
        if (previous == null || !previous.equals(s.lifecycle)) {
            say("told c" + c.number + " " + s.id + " " + s.lifecycle);
        }
    }

    private void onDiscovery(Coordinator c, Http.Connection from, String target) {
        c.askedAt = now();
        if (c.asked++ == 0) {
            say("c" + c.number + " asks discovery for the first time: " + target);
        }
        String fault = now() < c.discoveryFaultUntil ? c.discoveryFault : "";
        if (fault.equals("silent")) {
            return;
        } else if (fault.equals("503")) {
            from.answer(503, "text/plain", "");
            return;
        } else if (fault.equals("reset")) {
            from.reset();
            return;
        }
        int question = target.indexOf("from=");
        if (question < 0) {
            answerList(c, from, true, 0);
            return;
        }
        int since = Integer.parseInt(target.substring(question + 5).split("&")[0]);
        double hold = Double.parseDouble(target.substring(target.indexOf("hold_ms=") + 8)) / 1000;
        if (generation > since || hold == 0) {
            answerList(c, from, false, since);
            return;
        }
        Object[] watch = {from, since, now() + hold};
        c.watches.add(watch);
        at(now() + hold, () -> {
            if (c.watches.remove(watch)) {
                answerList(c, from, false, since);
            }
        });
    }

    private void answerWatches(Coordinator c) {
        if (now() < c.discoveryFaultUntil) {
            return;
        }
        List<Object[]> due = new ArrayList<>(c.watches);
        c.watches.clear();
        due.forEach(watch -> answerList(c, (Http.Connection) watch[0], false, (Integer) watch[1]));
    }

    private void answerList(Coordinator c, Http.Connection to, boolean whole, int since) {
        if (to.ended) {
            return;
        }
        if (now() < c.discoveryFaultUntil && c.discoveryFault.equals("silent")) {
            return;
        }
        to.answer(200, "application/json", listing(whole, since));
        for (Server s : servers) {
            if (!s.unlisted && (whole || s.changedIn > since)) {
                tell(c, s);
            }
        }
        c.toldGeneration = generation;
    }

    // ---- Relay

    private void onRelay(Coordinator c, Http.Connection from, String method, String target, String body) {
        String fault = now() < c.relayFaultUntil ? c.relayFault : "";
        if (fault.equals("silent")) {
            return;
        } else if (fault.equals("reset")) {
            from.reset();
            return;
        }
        if (target.startsWith("/api/stream")) {
            from.write("HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n");
            c.news.add(from);
            StringBuilder state = new StringBuilder();
            for (Proxy p : proxies) {
                if (p.attached[c.number]) {
                    state.append(attachText(c, p));
                }
            }
            for (int slice = 0; slice < owner.length; slice++) {
                if (owner[slice] == c.number) {
                    state.append(ownerText(slice));
                }
            }
            chunk(from, state.toString());
            say("c" + c.number + " asks for news");
            return;
        }
        if (!body.startsWith("Action=CommitChanges&changes=")) {
            from.answer(200, "text/xml", error("SYNTAX"));
            return;
        }
        if (c.busy) {
            from.answer(200, "text/xml", error("BUSY"));
            return;
        }
        String text = URLDecoder.decode(body.substring(29), StandardCharsets.UTF_8);
        boolean lose = chance.nextDouble() < c.loseAnswers;
        if (lose && chance.nextBoolean()) {
            say("call c" + c.number + " broken without effect: " + text);
            freeze(c, 0.5);
            from.reset();
            return;
        }
        int count = take(c, text);
        onCall.accept(c, text);
        if (lose) {
            say("call c" + c.number + " taken, answer lost");
            freeze(c, 0.5);
            from.reset();
            return;
        }
        say("call c" + c.number + " answered ok_count=" + count);
        from.answer(
                200,
                "text/xml",
                "<?xml version=\"1.0\"?>\n<Response><items><item><ok_count>" + count
                        + "</ok_count></item></items></Response>");
    }

    private static String error(String code) {
        return "<?xml version=\"1.0\"?>\n<Response><Errors><Error><Code>" + code + "</Code></Error></Errors></Response>";
    }

    private static void chunk(Http.Connection to, String text) {
        if (!text.isEmpty()) {
            to.write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }
    }

    void news(Coordinator c, String text) {
        if (now() < c.relayFaultUntil && c.relayFault.equals("silent")) {
            return;
        }
        c.news.removeIf(connection -> connection.ended);
        c.news.forEach(connection -> chunk(connection, text));
    }

    private String attachText(Coordinator c, Proxy p) {
        return "event: attach\ndata: id=" + p.id + "&site=" + site.zones[p.zone] + "&rps="
                + String.format(Locale.ROOT, "%.1f", site.flowsPerS / site.proxies) + "&new="
                + (p.holdsOrdered[c.number] ? 0 : 1) + "\n\n";
    }

    private String ownerText(int slice) {
        StringBuilder text = new StringBuilder("event: owner\ndata: range=" + slice + "&flag=1\n\n");
        store.get(slice)
                .forEach((id, weight) -> text.append(
                        "event: entry\ndata: range=" + slice + "&target=" + id + "&rps=" + weight + "\n\n"));
        return text.toString();
    }

    /** Carries the orders out; returns how many were taken. */
    private int take(Coordinator c, String text) {
        c.calls++;
        say("call c" + c.number + " waiting=" + (int) c.waiting + " " + text);
        Map<Proxy, Message> messages = new HashMap<>();
        int count = 0;
        for (String order : text.split(";")) {
            String[] words = order.split(",");
            switch (words[0]) {
                case "share" -> {
                    int slice = Integer.parseInt(words[1]);
                    if (!byId.containsKey(words[2]) || Double.parseDouble(words[3]) < 0) {
                        return finish(c, messages, count);
                    }
                    if (owner[slice] == c.number) {
                        setLine(store.get(slice), words[2], Double.parseDouble(words[3]));
                        proxies.forEach(p -> add(c, messages, p, words));
                    }
                }
                case "clear" -> {
                    int slice = Integer.parseInt(words[1]);
                    if (owner[slice] == c.number) {
                        store.get(slice).clear();
                        proxies.forEach(p -> add(c, messages, p, words));
                    }
                }
                case "withdraw", "restore" -> {
                    if (!byId.containsKey(words[1])) {
                        return finish(c, messages, count);
                    }
                    proxies.forEach(p -> add(c, messages, p, words));
                }
                case "admit" -> proxies.forEach(p -> add(c, messages, p, words));
                case "mark" -> {
                    boolean all = words[2].equals("1");
                    for (Proxy p : proxies) {
                        if (p.attached[c.number] && (all || messages.containsKey(p))) {
                            add(c, messages, p, words);
                        }
                    }
                }
                default -> {
                    return finish(c, messages, count);
                }
            }
            count++;
        }
        return finish(c, messages, count);
    }

    private void add(Coordinator c, Map<Proxy, Message> messages, Proxy p, String[] order) {
        if (p.attached[c.number]) {
            Message m = messages.computeIfAbsent(p, q -> new Message());
            m.orders.add(order);
        }
    }

    private int finish(Coordinator c, Map<Proxy, Message> messages, int count) {
        for (Proxy p : proxies) {
            Message m = messages.get(p);
            if (m != null) {
                m.to = p;
                m.epoch = p.epoch[c.number];
                m.lines = site.head + m.orders.size();
                m.orderedAt = now();
                c.channel.addLast(m);
                c.waiting += m.lines;
                if (site.messagesMost > 0) {
                    ArrayDeque<Double> times = p.messages.get(c.number);
                    times.addLast(now());
                    while (now() - times.peekFirst() > 10) {
                        times.pollFirst();
                    }
                    if (times.size() > site.messagesMost) {
                        breach("queue: " + times.size() + " messages of c" + c.number + " to proxy " + p.id
                                + " within 10 s, allowed " + site.messagesMost);
                    }
                }
            }
        }
        c.mostWaiting = Math.max(c.mostWaiting, c.waiting);
        if (c.waiting > site.linesPerS * site.backlogMs / 1000) {
            breach("queue: " + (int) c.waiting + " lines wait in the channel of c" + c.number + ", allowed "
                    + site.linesPerS * site.backlogMs / 1000);
        }
        return count;
    }

    static void setLine(TreeMap<String, Double> table, String id, double weight) {
        if (weight > 0) {
            table.put(id, weight);
        } else {
            table.remove(id);
        }
    }

    /** The rules' times stand still for a coordinator. */
    void freeze(Coordinator c, double seconds) {
        c.frozenUntil = Math.max(c.frozenUntil, now() + seconds);
    }

    // ---- Proxies

    void attach(Coordinator c, Proxy p) {
        p.attached[c.number] = true;
        p.epoch[c.number]++;
        p.messages.get(c.number).clear();
        p.lastArrival[c.number] = now();
        p.joinedAt[c.number] = c.clock;
        news(c, attachText(c, p));
        at(now() + site.syncMs / 1000 * (0.5 + chance.nextDouble()), () -> readStore(p, c.number, -1));
    }

    void detach(Coordinator c, Proxy p) {
        if (p.attached[c.number]) {
            p.attached[c.number] = false;
            p.epoch[c.number]++;
            c.channel.removeIf(m -> {
                if (m.to == p) {
                    c.waiting -= m.lines;
                }
                return m.to == p;
            });
            news(c, "event: detach\ndata: id=" + p.id + "\n\n");
        }
    }

    /** The stream of a proxy breaks and comes again. */
    void breakStream(Coordinator c, Proxy p, double away) {
        say("stream of proxy " + p.id + " to c" + c.number + " breaks");
        detach(c, p);
        at(now() + away, () -> attach(c, p));
    }

    /** A proxy process is killed and starts again. */
    void restartProxy(Proxy p, double away) {
        say("proxy " + p.id + " killed");
        p.up = false;
        coordinators.forEach(c -> detach(c, p));
        at(now() + away, () -> {
            p.up = true;
            say("proxy " + p.id + " started");
            for (Coordinator c : coordinators) {
                p.holdsOrdered[c.number] = false;
                p.masks.get(c.number).clear();
            }
            Arrays.fill(p.bareSince, Double.NaN);
            // It has no table before it reads the store.
            p.tables.values().forEach(TreeMap::clear);
            coordinators.forEach(c -> attach(c, p));
        });
    }

    private void readStore(Proxy p, int coordinator, int onlySlice) {
        if (!p.up) {
            return;
        }
        for (int slice = 0; slice < owner.length; slice++) {
            if (owner[slice] == coordinator && (onlySlice < 0 || onlySlice == slice)) {
                p.tables.put(slice, new TreeMap<>(store.get(slice)));
            }
        }
    }

    void give(int slice, int to) {
        int before = owner[slice];
        if (before == to) {
            return;
        }
        owner[slice] = to;
        if (before >= 0) {
            news(coordinators.get(before), "event: owner\ndata: range=" + slice + "&flag=0\n\n");
        }
        if (to >= 0) {
            news(coordinators.get(to), ownerText(slice));
            coordinators.get(to).givenAt.put(slice, coordinators.get(to).clock);
            for (Proxy p : proxies) {
                p.bareSince[slice] = Double.NaN;
                at(now() + site.syncMs / 1000 * (0.5 + chance.nextDouble()), () -> readStore(p, to, slice));
            }
        }
    }

    private void deliver(Coordinator c, Message m) {
        Proxy p = m.to;
        double transit = site.lateMs / 1000 * (0.5 + chance.nextDouble());
        double arrival = Math.max(p.lastArrival[c.number], now() + transit) + m.orders.size() * site.applyUs / 1e6;
        p.lastArrival[c.number] = arrival;
        at(arrival, () -> {
            if (!p.up || p.epoch[c.number] != m.epoch) {
                return;
            }
            apply(c, p, m, arrival);
        });
    }

    private void apply(Coordinator c, Proxy p, Message m, double arrival) {
        p.holdsOrdered[c.number] = true;
        p.lastOrderedAt[c.number] = Math.max(p.lastOrderedAt[c.number], m.orderedAt);
        for (String[] words : m.orders) {
            switch (words[0]) {
                case "share" -> setLine(p.tables.get(Integer.parseInt(words[1])), words[2], Double.parseDouble(words[3]));
                case "clear" -> p.tables.get(Integer.parseInt(words[1])).clear();
                case "withdraw" -> p.masks.get(c.number).add(words[1]);
                case "restore" -> p.masks.get(c.number).remove(words[1]);
                case "mark" -> news(
                        c,
                        "event: done\ndata: id=" + p.id + "&seq=" + words[1] + "&ms="
                                + String.format(Locale.ROOT, "%.1f", 1000 * (now() - m.orderedAt)) + "\n\n");
                default -> { }
            }
        }
    }

    private boolean usable(Proxy p, int slice, String id) {
        int c = owner[slice];
        return c < 0 || !p.masks.get(c).contains(id);
    }

    private String pick(Proxy p, int slice) {
        double total = 0;
        for (Map.Entry<String, Double> line : p.tables.get(slice).entrySet()) {
            total += usable(p, slice, line.getKey()) ? line.getValue() : 0;
        }
        double drawn = chance.nextDouble() * total;
        String last = null;
        for (Map.Entry<String, Double> line : p.tables.get(slice).entrySet()) {
            if (usable(p, slice, line.getKey())) {
                last = line.getKey();
                drawn -= line.getValue();
                if (drawn < 0) {
                    break;
                }
            }
        }
        return last;
    }

    // ---- Flows

    private double capacity(Server s, double t) {
        double age = t - s.startedAt;
        double warm = age >= site.coldSeconds ? 1 : site.coldFrom + (1 - site.coldFrom) * Math.max(0, age) / site.coldSeconds;
        return site.cores * warm / s.slow;
    }

    private void flow(Proxy p, int slice, int group, double since) {
        String id = pick(p, slice);
        double t = now();
        if (id == null) {
            if (t - since < site.holdMs / 1000) {
                at(t + 0.02, () -> flow(p, slice, group, since));
            } else {
                refused++;
                if (recordFlows) {
                    say("flow proxy=" + p.id + " slice=" + slice + " " + site.groups[group] + " refused: no line to pick");
                }
                count(slice, group, true);
            }
            return;
        }
        Server s = byId.get(id);
        int c = owner[slice];
        if (c >= 0) {
            judgeDrain(coordinators.get(c), p, slice, s);
        }
        double work = site.workMs[group] / 1000 * Math.exp(0.55 * chance.nextGaussian() - 0.15);
        if (t - s.startedAt < site.coldSeconds) {
            boolean knows = false;
            if (c >= 0) {
                Double known = coordinators.get(c).startKnownAt.get(id);
                knows = known != null && (p.lastOrderedAt[c] > known || t - known > site.graceMs / 1000);
            }
            s.sent.addLast(new double[] {t, work, knows ? 1 : 0});
        }
        boolean fails = false;
        double took = 0;
        if (!s.up || s.fallen) {
            fails = true;
        } else if (s.silent) {
            fails = true;
        } else if (chance.nextDouble() < s.failShare) {
            fails = true;
        } else {
            int free = 0;
            for (int i = 1; i < s.coreFree.length; i++) {
                free = s.coreFree[i] < s.coreFree[free] ? i : free;
            }
            double begin = Math.max(t, s.coreFree[free]);
            if (begin - t > site.expiryMs[group] / 1000) {
                fails = true;
            } else {
                double speed = capacity(s, t) / site.cores;
                s.coreFree[free] = begin + work / speed;
                took = s.coreFree[free] - t;
            }
        }
        if (fails) {
            failed++;
        }
        if (recordFlows) {
            say("flow proxy=" + p.id + " slice=" + slice + " " + site.groups[group] + " -> " + id
                    + (fails ? " failed" : String.format(Locale.ROOT, " answered in %.3f s", took)));
        }
        count(slice, group, fails);
        if (c >= 0) {
            double[] sums = coordinators.get(c).upstream.computeIfAbsent(p.zone + " " + id, k -> new double[3]);
            sums[0]++;
            sums[1] += fails ? 1 : 0;
            sums[2] += took;
        }
    }

    private void count(int slice, int group, boolean fails) {
        if (owner[slice] >= 0) {
            int[] counts = coordinators.get(owner[slice]).range.computeIfAbsent(slice + " " + group, k -> new int[2]);
            counts[0]++;
            counts[1] += fails ? 1 : 0;
        }
    }

    private void report(Coordinator c) {
        if (!c.ready) {
            return;
        }
        List<String> texts = new ArrayList<>();
        double over = site.periodMs;
        c.upstream.forEach((key, sums) -> {
            String[] words = key.split(" ");
            Server s = byId.get(words[1]);
            double ok = sums[0] - sums[1];
            String load = s.up && !s.silent && ok > 0
                    ? site.report.equals("cpu_share")
                            ? ":" + String.format(Locale.ROOT, "%.3f", s.util)
                            : ":" + String.format(Locale.ROOT, "%.0f", s.util * 6)
                    : null;
            List<String> message = new ArrayList<>(List.of(
                    "upstream_stats", "site", site.zones[Integer.parseInt(words[0])], "target", s.id, "count",
                    "" + (int) sums[0], "fail", "" + (int) sums[1], "mean",
                    String.format(Locale.ROOT, "%.1f", ok > 0 ? sums[2] / ok * 1000 : 0.0), "over",
                    String.format(Locale.ROOT, "%.1f", over)));
            if (load != null) {
                message.add("util");
                message.add(site.report + load);
            }
            texts.add(resp(message));
        });
        c.range.forEach((key, counts) -> {
            String[] words = key.split(" ");
            texts.add(resp(List.of(
                    "range_stats", "range", words[0], "lane", site.groups[Integer.parseInt(words[1])], "count",
                    "" + counts[0], "fail", "" + counts[1], "over", String.format(Locale.ROOT, "%.1f", over))));
        });
        c.upstream.clear();
        c.range.clear();
        String all = String.join("", texts);
        int life = c.lives;
        at(now() + site.heardLateMs / 1000, () -> {
            if (c.lives == life && !c.collectors.isEmpty()) {
                c.collectors.get(chance.nextInt(c.collectors.size())).add(all);
            }
        });
    }

    /** A report that arrives spoilt: the count of flows of a slice is out of range. */
    void spoiltReport(Coordinator c, int slice, long count) {
        say("spoilt report to c" + c.number + ": slice " + slice + " count " + count);
        c.collectors.get(0).add(resp(List.of(
                "range_stats", "range", "" + slice, "lane", site.groups[0], "count", "" + count, "fail", "0", "over",
                String.format(Locale.ROOT, "%.1f", site.periodMs))));
    }

    static String resp(List<String> words) {
        StringBuilder text = new StringBuilder("*" + words.size() + "\r\n");
        words.forEach(word -> text.append("$" + word.length() + "\r\n" + word + "\r\n"));
        return text.toString();
    }

    // ---- The judge

    private void judgeDrain(Coordinator c, Proxy p, int slice, Server s) {
        Double told = c.toldAt.get(s.id);
        if (told == null || !p.attached[c.number] || !c.ready) {
            return;
        }
        double since = Math.max(p.joinedAt[c.number], Math.max(told, c.givenAt.getOrDefault(slice, -1e9)));
        if (c.clock - since > site.graceMs / 1000 + 0.3) {
            breach(String.format(
                    Locale.ROOT,
                    "drain: proxy %d sends a flow of slice %d to %s (%s), told c%d %.2f s ago, grace %.1f s; line %s",
                    p.id, slice, s.id, s.lifecycle, c.number, c.clock - since, site.graceMs / 1000,
                    p.tables.get(slice)));
        }
    }

    private boolean warmListed(Coordinator c) {
        for (Server s : servers) {
            if ("SERVING".equals(c.toldState.get(s.id))
                    && System.currentTimeMillis() - c.toldStart.get(s.id) > site.warmMs) {
                return true;
            }
        }
        return false;
    }

    private void judge(double t) {
        for (Coordinator c : coordinators) {
            boolean alive = c.process != null && c.process.isAlive();
            if (c.process != null && !alive && !c.expectedEnd) {
                c.expectedEnd = true;
                c.ready = false;
                breach("crash: c" + c.number + " ended with " + c.process.exitValue());
            }
            if (!c.ready || t < c.readyAt + 1 || t < c.frozenUntil || c.cutOff) {
                continue;
            }
            c.clock += t - lastJudge;
            boolean warm = warmListed(c);
            for (Proxy p : proxies) {
                if (!p.up || !p.attached[c.number]) {
                    continue;
                }
                for (int slice = 0; slice < owner.length; slice++) {
                    if (owner[slice] != c.number) {
                        continue;
                    }
                    boolean bare = true;
                    for (String id : p.tables.get(slice).keySet()) {
                        bare &= !usable(p, slice, id);
                    }
                    if (!bare || !warm) {
                        p.bareSince[slice] = Double.NaN;
                    } else if (Double.isNaN(p.bareSince[slice])) {
                        p.bareSince[slice] = c.clock;
                    } else if (c.clock - p.bareSince[slice] > site.bareMs / 1000 + 0.3) {
                        breach("bare: proxy " + p.id + " has had no line to pick for slice " + slice + " of c" + c.number
                                + " for " + (c.clock - p.bareSince[slice]) + " s, table " + p.tables.get(slice)
                                + " withdrawn " + p.masks.get(c.number));
                        p.bareSince[slice] = Double.NaN;
                    }
                }
            }
        }
        for (Server s : servers) {
            if (s.up && !s.fallen && t - s.startedAt < site.coldSeconds + site.fallMs / 1000 && !s.sent.isEmpty()) {
                double span = site.fallMs / 1000;
                while (!s.sent.isEmpty() && s.sent.peekFirst()[0] < t - span) {
                    s.sent.pollFirst();
                }
                double work = 0;
                double known = 0;
                for (double[] each : s.sent) {
                    work += each[1];
                    known += each[1] * each[2];
                }
                double from = Math.max(s.startedAt, t - span);
                double can = 0;
                for (int i = 0; i < 20; i++) {
                    can += capacity(s, from + span * (i + 0.5) / 20) * span / 20;
                }
                if (work / can > s.mostRatio + 0.25 && known > work * 2 / 3) {
                    s.mostRatio = work / can;
                    say(String.format(Locale.ROOT, "cold %s age %.1f s: sent %.2f times what it can do", s.id,
                            t - s.startedAt, s.mostRatio));
                }
                if (work > 1.1 * site.fallMultiple * can) {
                    s.fallen = true;
                    String text = String.format(
                            Locale.ROOT,
                            "%s fell over: sent %.1f s of work within %.1f s, can do %.1f; age %.1f s; %.0f%% known",
                            s.id, work, span, can, t - s.startedAt, 100 * known / work);
                    if (known > work * 2 / 3) {
                        breach("cold: " + text);
                    } else {
                        say(text);
                    }
                }
            }
        }
        lastJudge = t;
    }

    private void tick() {
        if (ended) {
            return;
        }
        double t = now();
        double dt = t - lastTick;
        lastTick = t;
        double expected = site.flowsPerS * loadFactor * dt;
        int count = (int) expected + (chance.nextDouble() < expected - (int) expected ? 1 : 0);
        double proxyWeights = 0;
        for (Proxy p : proxies) {
            proxyWeights += p.up ? p.weight : 0;
        }
        for (int i = 0; i < count; i++) {
            flows++;
            double drawn = chance.nextDouble() * proxyWeights;
            Proxy from = null;
            for (Proxy p : proxies) {
                if (p.up) {
                    from = p;
                    drawn -= p.weight;
                    if (drawn < 0) {
                        break;
                    }
                }
            }
            if (from == null) {
                continue;
            }
            int slice = -1;
            double tide = chance.nextDouble();
            if (tide < site.tideShare) {
                slice = tideSlices[(int) (tide / site.tideShare * tideSlices.length)];
            } else if (t < hotUntil && chance.nextDouble() < hotShare) {
                slice = hotSlice;
            } else {
                double s = chance.nextDouble();
                for (slice = 0; slice < owner.length - 1 && s > sliceWeight[slice]; slice++) {
                    s -= sliceWeight[slice];
                }
            }
            int group = 0;
            double g = chance.nextDouble();
            while (group < site.groups.length - 1 && g > site.groupShare[group]) {
                g -= site.groupShare[group++];
            }
            flow(from, slice, group, t);
        }
        for (Coordinator c : coordinators) {
            c.budget = Math.min(c.budget + site.linesPerS * c.paceFactor * dt, c.channel.isEmpty() ? 0 : 1e9);
            while (!c.channel.isEmpty() && c.budget >= c.channel.peekFirst().lines) {
                Message m = c.channel.pollFirst();
                c.budget -= m.lines;
                c.waiting -= m.lines;
                deliver(c, m);
            }
        }
        for (Server s : servers) {
            double busy = 0;
            for (double free : s.coreFree) {
                busy += Math.min(1, Math.max(0, (free - t) / 0.001)) > 0 ? 1 : 0;
            }
            s.util += (busy / s.coreFree.length - s.util) * Math.min(1, dt / 0.5);
        }
        if (t - lastJudge >= 0.025) {
            judge(t);
        }
    }

    // ---- Coordinators

    void start(Coordinator c) {
        try {
            c.lives++;
            StringBuilder known = new StringBuilder();
            for (Server s : servers) {
                if (c.toldState.containsKey(s.id) && !c.toldState.get(s.id).equals("DELETED")) {
                    String state = s.lifecycle;
                    long started = s.startedUnixMs;
                    s.lifecycle = c.toldState.get(s.id);
                    s.startedUnixMs = c.toldStart.get(s.id);
                    known.append(known.length() > 0 ? "," : "").append(entry(s));
                    s.lifecycle = state;
                    s.startedUnixMs = started;
                }
            }
            c.toldAt.clear();
            Path file = folder.resolve("config-" + c.number + ".json");
            writeConfig(c, file, "{\"generation\":" + c.toldGeneration + ",\"reset\":true,\"instances\":[" + known + "]}");
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run).directory(new File(root));
            Path scratch = Files.createDirectories(folder.resolve("tmp-" + c.number + "-" + c.lives));
            builder.environment().putAll(Map.of(
                    "RELAY_NAME", "n" + c.number, "RELAY_LISTEN", "127.0.0.1:" + c.listenPort, "RELAY_DISCOVERY",
                    c.discovery.address(), "RELAY_CONFIG", file.toString(), "TMPDIR", scratch.toString()));
            builder.redirectErrorStream(true)
                    .redirectOutput(folder.resolve("log-" + c.number + "-" + c.lives + ".txt").toFile());
            c.process = builder.start();
            c.expectedEnd = false;
            say("c" + c.number + " started by the deploy file's run command");
            int life = c.lives;
            Process process = c.process;
            Http.thread(() -> awaitReady(c, process, life));
        } catch (IOException failure) {
            throw new IllegalStateException(failure);
        }
    }

    String lastKnown = "";

    void writeConfig(Coordinator c, Path file, String known) throws IOException {
        lastKnown = known;
        Files.writeString(
                file,
                "{\"name\":\"n" + c.number + "\",\"listen\":\"127.0.0.1:" + c.listenPort + "\",\"discovery\":\""
                        + c.discovery.address() + "\",\"seed\":\"" + Long.toHexString(chance.nextLong())
                        + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":" + site.memoryMb + ",\"sockets\":" + site.sockets
                        + "},\"registry\":{\"address\":\"" + c.relay.address() + "\"},\"known\":" + known + ",\"settings\":"
                        + site.settings(c.number) + "}");
    }

    private void awaitReady(Coordinator c, Process process, int life) {
        while (process.isAlive()) {
            try (Socket socket = new Socket("127.0.0.1", c.listenPort)) {
                socket.setSoTimeout(3000);
                socket.getOutputStream().write(resp(List.of("hb")).getBytes(StandardCharsets.US_ASCII));
                byte[] answer = socket.getInputStream().readNBytes(15);
                if (new String(answer, StandardCharsets.US_ASCII).contains("hb_ok")) {
                    loop.execute(() -> onReady(c, life));
                    return;
                }
            } catch (IOException notYet) {
                // Tried again below.
            }
            sleep(0.03);
        }
    }

    static void sleep(double seconds) {
        try {
            Thread.sleep((long) (seconds * 1000));
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void onReady(Coordinator c, int life) {
        if (c.lives != life) {
            return;
        }
        c.ready = true;
        c.busy = false;
        c.readyAt = now();
        say("c" + c.number + " ready");
        c.collectors.clear();
        for (String zone : site.zones) {
            LinkedBlockingQueue<String> queue = new LinkedBlockingQueue<>();
            queue.add(resp(List.of("telemetry", "site", zone)));
            c.collectors.add(queue);
            Http.thread(() -> {
                try (Socket socket = new Socket("127.0.0.1", c.listenPort)) {
                    while (true) {
                        socket.getOutputStream().write(queue.take().getBytes(StandardCharsets.US_ASCII));
                    }
                } catch (IOException | InterruptedException ended) {
                    // The coordinator ended, or turned the collector away.
                }
            });
        }
    }

    /** Kills a coordinator outright and starts it again after a pause; the store may deal its slices meanwhile. */
    void killAndStart(Coordinator c, double pause, boolean term) {
        say("c" + c.number + (term ? " SIGTERM" : " SIGKILL"));
        c.expectedEnd = true;
        c.ready = false;
        if (term) {
            c.process.destroy();
        } else {
            c.process.destroyForcibly();
        }
        Process old = c.process;
        at(now() + 0.7, old::destroyForcibly);
        c.channel.clear();
        c.waiting = 0;
        c.watches.clear();
        for (Proxy p : proxies) {
            p.epoch[c.number]++;
        }
        int life = c.lives;
        if (coordinators.size() > 1) {
            at(now() + site.takeoverMs / 1000, () -> {
                if (!c.ready) {
                    dealAway(c);
                }
            });
        }
        at(now() + Math.max(0.75, pause), () -> {
            if (c.lives == life) {
                start(c);
                awaitAndReturn(c);
            }
        });
    }

    private void dealAway(Coordinator c) {
        List<Coordinator> others = coordinators.stream().filter(o -> o != c && o.ready).toList();
        if (others.isEmpty()) {
            return;
        }
        say("slices of c" + c.number + " go to others");
        for (int slice = 0; slice < owner.length; slice++) {
            if (owner[slice] == c.number) {
                give(slice, others.get(chance.nextInt(others.size())).number);
            }
        }
    }

    private void awaitAndReturn(Coordinator c) {
        int life = c.lives;
        at(now() + 0.2, () -> {
            if (c.lives != life) {
                return;
            }
            if (!c.ready) {
                awaitAndReturn(c);
                return;
            }
            for (int slice = 0; slice < owner.length; slice++) {
                if (slice % site.coordinators == c.number) {
                    give(slice, c.number);
                }
            }
        });
    }

    void signal(Coordinator c, String name) {
        say("c" + c.number + " SIG" + name);
        try {
            new ProcessBuilder("kill", "-" + name, "" + c.process.pid()).inheritIO().start().waitFor();
        } catch (IOException | InterruptedException failure) {
            throw new IllegalStateException(failure);
        }
    }

    /** Moves discovery and relay of a coordinator to new addresses, with SIGHUP. */
    void reload(Coordinator c) {
        try {
            Http oldDiscovery = c.discovery;
            Http oldRelay = c.relay;
            c.discovery = new Http((from, method, target, body) -> loop.execute(() -> onDiscovery(c, from, target)));
            c.relay = new Http((from, method, target, body) -> loop.execute(() -> onRelay(c, from, method, target, body)));
            writeConfig(c, folder.resolve("config-" + c.number + ".json"), lastKnown);
            freeze(c, 4);
            signal(c, "HUP");
            oldDiscovery.stopAccepting();
            oldRelay.stopAccepting();
            at(now() + 1.5, () -> {
                oldDiscovery.close();
                oldRelay.close();
            });
        } catch (IOException failure) {
            throw new IllegalStateException(failure);
        }
    }

    void breakNews(Coordinator c) {
        say("news of c" + c.number + " reset");
        c.news.forEach(Http.Connection::reset);
        c.news.clear();
        freeze(c, 4);
    }

    /** Cuts a coordinator off from relay and discovery: all stays open and silent; what was open is reset at the end. */
    void cut(Coordinator c, double seconds) {
        say("c" + c.number + " cut off for " + seconds + " s");
        c.cutOff = true;
        c.relayFault = c.discoveryFault = "silent";
        c.relayFaultUntil = c.discoveryFaultUntil = now() + seconds;
        c.watches.clear();
        at(now() + site.takeoverMs / 1000, () -> {
            if (c.cutOff && coordinators.size() > 1) {
                dealAway(c);
            }
        });
        at(now() + seconds + 0.01, () -> {
            say("c" + c.number + " reached again");
            c.relay.resetAll();
            c.discovery.resetAll();
            c.news.clear();
            c.channel.clear();
            c.waiting = 0;
            at(now() + 4, () -> c.cutOff = false);
            at(now() + 0.5, () -> awaitAndReturn(c));
        });
    }

    /** Attaches all proxies, starts the coordinators and the clocks. */
    void begin() {
        loop.execute(() -> {
            for (Proxy p : proxies) {
                coordinators.forEach(c -> p.attached[c.number] = true);
            }
            coordinators.forEach(this::start);
            lastTick = lastJudge = now();
        });
        loop.scheduleWithFixedDelay(
                () -> {
                    try {
                        tick();
                    } catch (RuntimeException failure) {
                        failure.printStackTrace(record);
                    }
                },
                5, 5, TimeUnit.MILLISECONDS);
        loop.scheduleAtFixedRate(
                () -> {
                    try {
                        coordinators.forEach(c -> news(c, ":\n\n"));
                    } catch (RuntimeException failure) {
                        failure.printStackTrace(record);
                    }
                },
                1, 1, TimeUnit.SECONDS);
        loop.scheduleAtFixedRate(
                () -> {
                    for (int i = 0; i < tideSlices.length; i++) {
                        tideSlices[i] = chance.nextInt(owner.length);
                    }
                },
                14, 14, TimeUnit.SECONDS);
        loop.scheduleAtFixedRate(
                () -> {
                    try {
                        coordinators.forEach(this::report);
                    } catch (RuntimeException failure) {
                        failure.printStackTrace(record);
                    }
                },
                2000, (long) site.periodMs, TimeUnit.MILLISECONDS);
    }

    /** Waits until all coordinators answer signs of life; returns whether they did within 30 s. */
    boolean awaitAllReady() {
        for (int i = 0; i < 300; i++) {
            boolean all = true;
            for (Coordinator c : coordinators) {
                all &= c.ready;
            }
            if (all) {
                return true;
            }
            sleep(0.1);
        }
        return false;
    }

    /** Ends all processes that were started and waits until they are gone. */
    void killAll() {
        for (Coordinator c : coordinators) {
            c.expectedEnd = true;
            if (c.process != null) {
                c.process.destroyForcibly();
            }
        }
        for (Coordinator c : coordinators) {
            try {
                if (c.process != null && !c.process.waitFor(10, TimeUnit.SECONDS)) {
                    say("c" + c.number + " has not ended");
                }
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
        record.flush();
    }

    void end() {
        ended = true;
        for (Coordinator c : coordinators) {
            for (int life = 1; life <= c.lives; life++) {
                try {
                    List<String> log = Files.readAllLines(folder.resolve("log-" + c.number + "-" + life + ".txt"));
                    for (String line : log.subList(Math.max(0, log.size() - 15), log.size())) {
                        say("log of c" + c.number + "." + life + ": " + line);
                    }
                } catch (IOException unread) {
                    say("no log: " + unread);
                }
            }
        }
        killAll();
        say("flows=" + flows + " refused=" + refused + " failed=" + failed + " broken=" + broken.size());
        for (Coordinator c : coordinators) {
            say("c" + c.number + " asked discovery " + c.asked + " times; calls=" + c.calls + " mostWaiting=" + (int) c.mostWaiting + " of "
                    + (int) (site.linesPerS * site.backlogMs / 1000));
        }
        record.flush();
    }
}
