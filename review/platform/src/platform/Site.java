package platform;

/** Figures of a small deployment; the defaults lie inside the ranges of bystrica-returns. */
final class Site {
    String name = "bystrica-returns";
    String discoveryMode = "ask";
    String[] zones = {"hall-a", "hall-b", "hall-c"};
    String machine = "six-core";
    int servers = 16;
    int proxies = 9;
    int slices = 80;
    int coordinators = 1;
    /** Traffic groups: name, budget ms, expiry ms, utility, mean work ms, share. */
    String[] groups = {"claim-status", "refund-quote", "book-pickup"};
    double[] budgetMs = {1200, 2000, 1000};
    double[] expiryMs = {4000, 5000, 2500};
    double[] utility = {1, 3, 2};
    double[] workMs = {235, 350, 235};
    double[] groupShare = {0.48, 0.32, 0.20};
    String[] semantics = {"repeatable", "repeatable", "once"};
    double cores = 6;
    double coldFrom = 0.25;
    double coldSeconds = 14;
    double flowsPerS = 150;
    double linesPerS = 5500;
    double head = 12;
    double backlogMs = 1000;
    double lateMs = 280;
    double lateMostMs = 700;
    double applyUs = 40;
    int messagesMost = 0;
    double bareMs = 4000;
    double graceMs = 3000;
    double warmMs = 18000;
    double startCapacity = 0.2;
    double fallMultiple = 2.5;
    double fallMs = 2000;
    double periodMs = 2000;
    double heardLateMs = 900;
    double takeoverMs = 2000;
    double syncMs = 300;
    double redialMs = 1200;
    double holdMs = 500;
    boolean probes = true;
    String report = "cpu_share";
    double sliceSigma = 0.7;
    double tideShare = 0;
    int memoryMb = 192;
    int sockets = 1024;

    static Site bystrica() {
        return new Site();
    }

    /** Another customer's deployment: limited messages, two coordinators. */
    static Site whk() {
        Site s = new Site();
        s.name = "whk-placements";
        s.zones = new String[] {"eros", "olympia", "prosperita", "klein-whk"};
        s.machine = "std-6core";
        s.servers = 24;
        s.proxies = 10;
        s.slices = 130;
        s.groups = new String[] {"vacancy-search", "centre-info", "place-reserve"};
        s.budgetMs = new double[] {2000, 1200, 1200};
        s.expiryMs = new double[] {6000, 4000, 3000};
        s.utility = new double[] {2, 1, 2};
        s.workMs = new double[] {310, 205, 205};
        s.groupShare = new double[] {0.43, 0.33, 0.24};
        s.flowsPerS = 220;
        s.linesPerS = 12000;
        s.head = 16;
        s.backlogMs = 1500;
        s.lateMs = 240;
        s.applyUs = 30;
        s.messagesMost = 12;
        s.warmMs = 15000;
        s.startCapacity = 0.19;
        s.fallMultiple = 4;
        s.report = "pending";
        s.holdMs = 200;
        s.coldSeconds = 12;
        s.coordinators = 2;
        return s;
    }

    /** The figures of kosice-dispatch; the list is asked for, so that the rest can be tried. */
    static Site kosice() {
        Site s = new Site();
        s.name = "kosice-dispatch";
        s.zones = new String[] {"budova-1", "budova-2", "budova-3"};
        s.servers = 18;
        s.proxies = 11;
        s.slices = 90;
        s.coordinators = 2;
        s.flowsPerS = 190;
        s.linesPerS = 8500;
        s.head = 8;
        s.backlogMs = 2000;
        s.lateMs = 420;
        s.lateMostMs = 900;
        s.graceMs = 2000;
        s.warmMs = 15000;
        s.startCapacity = 0.17;
        s.coldFrom = 0.2;
        s.fallMs = 1500;
        s.report = "busy_reqs";
        s.takeoverMs = 3400;
        s.holdMs = 200;
        return s;
    }

    static Site dealer() {
        Site s = new Site();
        s.name = "dealer-desk";
        s.discoveryMode = "push";
        s.zones = new String[] {"zilina-1", "trnava-1", "kosice-1"};
        s.machine = "small-3c";
        s.servers = 14;
        s.proxies = 14;
        s.slices = 80;
        s.groups = new String[] {"basket-price", "stock-hold"};
        s.budgetMs = new double[] {1500, 500};
        s.expiryMs = new double[] {5000, 1200};
        s.utility = new double[] {1, 3};
        s.workMs = new double[] {280, 112};
        s.groupShare = new double[] {0.62, 0.38};
        s.semantics = new String[] {"repeatable", "repeatable"};
        s.cores = 4;
        s.flowsPerS = 110;
        s.linesPerS = 2700;
        s.head = 12;
        s.backlogMs = 1500;
        s.lateMs = 280;
        s.messagesMost = 20;
        s.warmMs = 17000;
        s.startCapacity = 0.15;
        s.coldFrom = 0.2;
        s.fallMultiple = 4;
        s.fallMs = 1500;
        s.periodMs = 1000;
        s.probes = false;
        s.holdMs = 200;
        return s;
    }

    private static long ns(double ms) {
        return (long) (ms * 1e6);
    }

    /** The settings object under the names of the simulator's first message. */
    String settings(int me) {
        StringBuilder classes = new StringBuilder();
        StringBuilder flags = new StringBuilder();
        for (int i = 0; i < groups.length; i++) {
            classes.append(i > 0 ? "," : "")
                    .append("{\"AimNs\":" + ns(budgetMs[i]) + ",\"DedupScope\":\"all\",\"HardLimitNs\":" + ns(expiryMs[i])
                            + ",\"Importance\":" + utility[i] + ",\"LateWorth\":0.2,\"Name\":\"" + groups[i]
                            + "\",\"Semantics\":\"" + semantics[i] + "\",\"WindowNs\":" + ns(expiryMs[i]) + "}");
            flags.append(i > 0 ? "," : "").append("false");
        }
        return "{\"Ceilings\":{\"ConnIdleNs\":15000000000,\"ConnectTimeoutNs\":250000000,\"CpuUsPerS\":400000,\"Peers\":false,"
                + "\"Probes\":" + probes + ",\"StreamsPerConn\":32},\"Discovery\":\"" + discoveryMode + "\",\"Domain\":{\"Backlog\":"
                + linesPerS * backlogMs / 1000 + ",\"BaseMode\":0,\"BlackholeNs\":" + ns(bareMs)
                + ",\"ByZone\":false,\"ConnsLeast\":470.0,\"CountedOverNs\":10000000000,\"DefaultSize\":6,\"EgressPerS\":"
                + linesPerS + ",\"FailsToEject\":0,\"HoldNs\":" + ns(holdMs) + ",\"IngestRate\":250.0,\"LbMethod\":\"random\","
                + "\"LeaseNs\":800000000,\"LingersNs\":20000000,\"MovePrice\":0.005,\"OrderPrice\":0.04,\"Overhead\":" + head
                + ",\"ProxyCount\":" + proxies + ",\"PushDelayMaxNs\":" + ns(lateMostMs) + ",\"PushesAllowed\":" + messagesMost
                + ",\"Ranges\":" + slices + ",\"ReportEveryNs\":" + ns(periodMs)
                + ",\"SoleOwner\":false,\"StaysLocal\":[" + flags + "],\"ThrottleBy\":\"off\",\"TransitNs\":" + ns(lateMs)
                + ",\"TryAims\":1.2,\"WarmKeys\":true,\"WriteClasses\":[" + flags + "]},\"DomainType\":\"control\","
                + "\"Feedback\":{\"Columns\":[\"" + report + "\"],\"Via\":\"inline\"},\"Goal\":{\"Whole\":0.5,\"WorstClass\":0.1,"
                + "\"WorstTenant\":0.0,\"WorstWindow\":0.4},\"Instances\":" + coordinators + ",\"Me\":" + me + ",\"Models\":[\""
                + machine + "\"],\"PeriodNs\":4000000,\"Prices\":{\"Connection\":0.02,\"CrossZone\":0.005,\"Handshake\":0.02,"
                + "\"LateFail\":0.03,\"Peer\":0.0,\"Probe\":0.02,\"Waste\":0.03},\"RequestClasses\":[" + classes
                + "],\"Rules\":{\"AskWithinNs\":10000000000,\"FallMultiple\":" + fallMultiple + ",\"FallNs\":" + ns(fallMs)
                + ",\"StartCapacity\":" + startCapacity + ",\"StopSendingWithinNs\":" + ns(graceMs) + ",\"WarmWithinNs\":"
                + ns(warmMs) + "},\"Weights\":\"nominal\",\"WorthBy\":\"request\",\"Zone\":0,\"Zones\":["
                + "\"" + String.join("\",\"", zones) + "\"]}";
    }
}
