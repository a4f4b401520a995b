package puffinbarrow.standin;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.commons.rng.UniformRandomProvider;
import puffinbarrow.config.CoordinatorConfig;
import puffinbarrow.net.Net;

/**
 * Stand-in clients: arrivals are open (drawn ahead, never waiting for answers), each flow counts with its retries as
 * one, and latency counts from the intended start. A blocked flow comes back once, after a wait, if it may.
 */
public final class Clients {
    public enum Outcome { DELIVERED, LATE, BLOCKED, DROPPED }

    /** A flow's end, by its intended start. */
    public record Flow(long startNs, int group, Outcome outcome, long tookNs, int tries) {}

    private final Net net;
    private final CoordinatorConfig config;
    private final UniformRandomProvider chance;
    private final Caller caller;
    private final List<InetSocketAddress> proxies = new ArrayList<>();
    private final List<Double> parts = new ArrayList<>();
    private final double[] shares;
    private final long[] workNs;
    private final double[] slicePart;
    private final int retries;
    private final List<Flow> ended = new ArrayList<>();
    private final AtomicLong open = new AtomicLong();
    private volatile double perS;
    private volatile int hotKeys;
    private volatile double hotShare;
    private volatile int hotFirst;
    private volatile double heavyShare, heavyTimes;
    private volatile boolean running;
    private long intended;
    private long nextAt;

    /** @param shares each group's share of flows; @param workNs each group's mean work */
    public Clients(Net net, CoordinatorConfig config, UniformRandomProvider chance, double[] shares, long[] workNs,
            int retries) {
        this.net = net;
        this.config = config;
        this.chance = chance;
        this.caller = new Caller(net);
        this.shares = shares.clone();
        this.workNs = workNs.clone();
        this.retries = retries;
        this.slicePart = new double[config.slices];
        double sum = 0;
        for (int i = 0; i < slicePart.length; i++) {
            // Slices are uneven in size, the largest a few times the smallest.
            slicePart[i] = 0.4 + 1.2 * chance.nextDouble();
            sum += slicePart[i];
        }
        for (int i = 0; i < slicePart.length; i++) {
            slicePart[i] /= sum;
        }
    }

    /** Clients of a proxy send this part of the traffic, against the other proxies' parts. */
    public void add(InetSocketAddress proxy, double part) {
        proxies.add(proxy);
        parts.add(part);
    }

    public void rate(double flowsPerS) {
        perS = flowsPerS;
    }

    public double rate() {
        return perS;
    }

    /** So many slices' keys draw this share of all traffic on top of their own. */
    public void hot(int keys, double share, int first) {
        hotKeys = keys;
        hotShare = share;
        hotFirst = first;
    }

    /** This share of flows costs that many times the usual work. */
    public void heavy(double share, double times) {
        heavyShare = share;
        heavyTimes = times;
    }

    public void start() {
        running = true;
        nextAt = System.nanoTime();
        schedule();
    }

    public void stop() {
        running = false;
    }

    public long openFlows() {
        return open.get();
    }

    public long intended() {
        return intended;
    }

    public List<Flow> ended() {
        synchronized (ended) {
            return List.copyOf(ended);
        }
    }

    private void schedule() {
        if (!running) {
            return;
        }
        // A sender that is behind sends what is due at once; latency counts from the intended start all the same.
        long now = System.nanoTime();
        while (nextAt <= now) {
            send(nextAt);
            nextAt += (long) (-Math.log(1 - chance.nextDouble()) / Math.max(0.01, perS) * 1e9);
        }
        net.timer().schedule(this::schedule, Math.max(100_000, nextAt - System.nanoTime()), TimeUnit.NANOSECONDS);
    }

    private int draw(double[] weights) {
        double at = chance.nextDouble();
        for (int i = 0; i < weights.length - 1; i++) {
            at -= weights[i];
            if (at < 0) {
                return i;
            }
        }
        return weights.length - 1;
    }

    private void send(long startNs) {
        intended++;
        int group = draw(shares);
        int slice = hotKeys > 0 && chance.nextDouble() < hotShare
                ? (hotFirst + chance.nextInt(hotKeys)) % slicePart.length : draw(slicePart);
        // Log-normal with a standard deviation of about half the mean, as the deployments state theirs.
        double spread = 0.47;
        double gauss = Math.sqrt(-2 * Math.log(1 - chance.nextDouble())) * Math.cos(2 * Math.PI
                * chance.nextDouble());
        long work = (long) (workNs[group] * Math.exp(spread * gauss - spread * spread / 2));
        if (heavyShare > 0 && chance.nextDouble() < heavyShare) {
            work *= (long) heavyTimes;
        }
        double at = chance.nextDouble() * parts.stream().mapToDouble(Double::doubleValue).sum();
        int proxy = 0;
        while (proxy < proxies.size() - 1 && (at -= parts.get(proxy)) >= 0) {
            proxy++;
        }
        open.incrementAndGet();
        attempt(startNs, group, slice, work, proxies.get(proxy), slice + "/" + chance.nextInt(40), 1);
    }

    private void attempt(long startNs, int group, int slice, long work, InetSocketAddress proxy, String key,
            int number) {
        CoordinatorConfig.Group of = config.groups.get(group);
        long left = startNs + of.expiryNs() - System.nanoTime();
        if (left < 10_000_000L) {
            end(startNs, group, Outcome.DROPPED, number - 1);
            return;
        }
        String text = "POST /flow HTTP/1.1\r\nhost: proxy\r\nx-slice: " + slice + "\r\nx-group: " + group
                + "\r\nx-key: " + key + "\r\nx-work-ns: " + work + "\r\nx-expiry-ns: " + left
                + "\r\ncontent-length: 0\r\n\r\n";
        caller.call(proxy, text, left, result -> {
            boolean blocked = result.answer() != null && result.answer().first().equals("503");
            boolean mayRepeat = of.repeats() == CoordinatorConfig.Repeats.RETRIABLE || blocked;
            if (result.good()) {
                long took = System.nanoTime() - startNs;
                end(startNs, group, took <= of.budgetNs() ? Outcome.DELIVERED : Outcome.LATE, number);
            } else if (mayRepeat && number <= retries && startNs + of.expiryNs() - System.nanoTime() > 100_000_000L) {
                // Spread by the flow's own start, as arrivals alone draw from the chance.
                long wait = 50L << number;
                net.schedule(wait + Math.floorMod(startNs, wait),
                        () -> attempt(startNs, group, slice, work, proxy, key, number + 1));
            } else {
                end(startNs, group, blocked ? Outcome.BLOCKED : Outcome.DROPPED, number);
            }
        });
    }

    private void end(long startNs, int group, Outcome outcome, int tries) {
        synchronized (ended) {
            ended.add(new Flow(startNs, group, outcome, System.nanoTime() - startNs, tries));
        }
        open.decrementAndGet();
    }
}
