package puffinbarrow.coordinator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import puffinbarrow.config.CoordinatorConfig;
import puffinbarrow.lease.Lease;
import puffinbarrow.lease.Member;
import puffinbarrow.lease.Step;
import puffinbarrow.lease.Voice;
import puffinbarrow.proto.Frame;

/**
 * The lease core with the store's stream and a timer around it. Its steps become frames to the store and charges for the
 * coordinator's core; a slice's charge is given once its table has been read, which is after its voice was written. The
 * decision thread reads terms and the end of the lease without waiting; all else is guarded by this.
 */
public final class Holder implements Core.Fence {
    /** Its clock and timer: the system's, or an emulator's. */
    public interface Timing {
        long now();

        void after(long ns, Runnable work);
    }

    private static final Logger LOG = LoggerFactory.getLogger("puffinbarrow.lease");
    /** Ticks in a lease: a silence ends at most a twentieth of a lease late. */
    private static final int TICKS = 20;

    private final CoordinatorConfig config;
    private final Timing timing;
    private final Predicate<Input> charges;
    private final Meters meters;
    private final Lease lease;
    private final AtomicLongArray terms;
    /** Begun, but their tables have not come from the store yet. */
    private final Map<Integer, Long> beginning = new HashMap<>();

    private volatile long speakUntil = Long.MIN_VALUE;
    private Consumer<Frame> store;

    public Holder(CoordinatorConfig config, long incarnation, Timing timing, Predicate<Input> charges, Meters meters) {
        this.config = config;
        this.timing = timing;
        this.charges = charges;
        this.meters = meters;
        meters.gauge("lease.voices", this, Holder::held);
        this.terms = new AtomicLongArray(config.slices);
        this.lease = new Lease(
                new Lease.Settings(config.number, config.slices, config.leaseNs, Math.max(8, config.slices / TICKS)),
                incarnation);
    }

    public void start() {
        timing.after(config.leaseNs / TICKS, this::tick);
    }

    private void tick() {
        synchronized (this) {
            carry(lease.tick(timing.now()));
        }
        start();
    }

    /** The store's stream stands, and takes frames; or it is gone (null). */
    public synchronized void store(Consumer<Frame> up) {
        store = up;
        beginning.clear();
        if (up == null) {
            carry(lease.disconnected(timing.now()));
        } else {
            carry(lease.connected(timing.now()));
            up.accept(new Frame.Watch());
            // Tables asked for on the former stream.
            for (int slice = 0; slice < config.slices; slice++) {
                if (lease.speaks(slice) && terms.get(slice) == 0) {
                    begin(slice, lease.term(slice));
                }
            }
        }
    }

    public synchronized void frame(Frame frame) {
        long now = timing.now();
        if (frame instanceof Frame.MemberRecord f) {
            carry(lease.member(
                    now,
                    f.revision(),
                    new Member(f.number(), f.incarnation(), f.beat(), f.settled(), f.leaving(), f.flaps(), f.dead())));
        } else if (frame instanceof Frame.VoiceRecord f && f.slice() >= 0 && f.slice() < config.slices) {
            carry(lease.voice(now, f.slice(), f.revision(), new Voice(f.owner(), f.incarnation(), f.term())));
        } else if (frame instanceof Frame.Written f) {
            meters.count(f.applied() ? "lease.writes" : "lease.writes.lost");
            carry(lease.answered(now, f.id(), f.applied()));
        } else if (frame instanceof Frame.Synced) {
            carry(lease.synced(now));
        } else if (frame instanceof Frame.Stale f) {
            stale(f.slice(), f.term());
        } else if (frame instanceof Frame.Stored f) {
            Long term = beginning.remove(f.slice());
            if (term != null && lease.speaks(f.slice())) {
                terms.set(f.slice(), term);
                charges.test(new Input.FromStore(new Frame.Charge(f.slice(), true)));
                charges.test(new Input.FromStore(f));
            }
        }
    }

    /** A proxy or the store has seen a later term. */
    public synchronized void stale(int slice, long term) {
        meters.count("lease.told_stale");
        if (slice >= 0 && slice < config.slices) {
            carry(lease.toldStale(timing.now(), slice, term));
        }
    }

    public synchronized void leave() {
        carry(lease.leave(timing.now()));
    }

    /** Hands on what others can take, and waits for it that long at most. */
    void leaveWithin(long ns) {
        leave();
        long until = timing.now() + ns;
        try {
            while (timing.now() < until && others() && held() > 0) {
                Thread.sleep(10);
            }
        } catch (InterruptedException hurried) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized boolean others() {
        return lease.living(timing.now()).size() > 1;
    }

    private synchronized int held() {
        return lease.held();
    }

    private void carry(List<Step> steps) {
        for (Step step : steps) {
            if (step instanceof Step.WriteMember s) {
                Member m = s.value();
                send(new Frame.MemberRecord(
                        s.id(),
                        s.expected(),
                        m.number(),
                        m.incarnation(),
                        m.beat(),
                        m.settled(),
                        m.leaving(),
                        m.dead(),
                        m.flaps()));
                if (m.dead()) {
                    LOG.atWarn().addKeyValue("member", m.number()).log("its lease ran out, its record is closed");
                }
            } else if (step instanceof Step.WriteVoice s) {
                send(new Frame.VoiceRecord(
                        s.id(),
                        s.expected(),
                        s.slice(),
                        s.value().owner(),
                        s.value().incarnation(),
                        s.value().term()));
            } else if (step instanceof Step.Begin s) {
                begin(s.slice(), s.term());
            } else if (step instanceof Step.End s) {
                beginning.remove(s.slice());
                meters.cause("lease.ended", s.why());
                if (terms.getAndSet(s.slice(), 0) != 0) {
                    charges.test(new Input.FromStore(new Frame.Charge(s.slice(), false)));
                }
            } else if (step instanceof Step.Left) {
                LOG.atInfo().log("all charges are handed on");
            }
        }
        speakUntil = lease.speakUntilNs();
    }

    private void begin(int slice, long term) {
        meters.count("lease.begun");
        beginning.put(slice, term);
        send(new Frame.ReadSlice(slice));
    }

    private void send(Frame frame) {
        if (store != null) {
            store.accept(frame);
        }
    }

    @Override
    public boolean open(long now) {
        return timing.now() < speakUntil;
    }

    @Override
    public long term(int slice) {
        return slice < 0 || slice >= terms.length() ? 0 : terms.get(slice);
    }

    /** For status: members as seen here, voices held, the range of their terms. */
    synchronized Map<String, Object> state() {
        Map<String, Object> state = new TreeMap<>();
        List<String> members = new ArrayList<>();
        for (Member m : lease.living(timing.now())) {
            members.add(m.number() + (m.leaving() ? " leaving" : m.settled() ? "" : " not settled"));
        }
        long least = Long.MAX_VALUE;
        long most = 0;
        int held = 0;
        for (int slice = 0; slice < config.slices; slice++) {
            long term = terms.get(slice);
            if (term > 0) {
                held++;
                least = Math.min(least, term);
                most = Math.max(most, term);
            }
        }
        state.put("members", members);
        state.put("voices", held);
        state.put("terms", held == 0 ? "none" : least + " to " + most);
        state.put("lease", Math.max(0, (speakUntil - timing.now()) / 1_000_000) + " ms left");
        return state;
    }
}
