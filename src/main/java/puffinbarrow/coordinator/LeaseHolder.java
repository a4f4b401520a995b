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
import puffinbarrow.lease.SliceOwner;
import puffinbarrow.lease.Step;
import puffinbarrow.proto.Frame;

/**
 * Holds the slice leases of one coordinator: connects the lease state machine ({@link Lease}) to the store and a timer.
 * Its steps become frames to the store, and inputs that give slices to the coordinator's core or take them away. A
 * slice is given once its table has been read from the store, which happens after its ownership record was written.
 * The decision thread reads terms and the end of the lease without locking; everything else is guarded by this.
 */
public final class LeaseHolder implements CoordinatorCore.Fence {
    /** A clock and timer: the system's, or the emulator's. */
    public interface Clock {
        /** Returns the time in nanoseconds. */
        long now();

        /** Runs the task after that many nanoseconds. */
        void after(long ns, Runnable work);
    }

    private static final Logger LOG = LoggerFactory.getLogger("puffinbarrow.lease");
    /** Timer ticks in one lease duration: an expired lease is noticed at most a twentieth of its duration late. */
    private static final int TICKS_PER_LEASE = 20;
    /** Poll interval while slices are handed on. */
    private static final long LEAVE_POLL_MS = 10;

    private final CoordinatorConfig config;
    private final Clock clock;
    private final Predicate<Input> inbox;
    private final Meters meters;
    private final Lease lease;
    /** The lease term of each slice, or 0 if the slice may not be written to. */
    private final AtomicLongArray terms;
    /** Terms by slice, for slices whose lease began but whose table has not arrived from the store. */
    private final Map<Integer, Long> awaitingTable = new HashMap<>();

    /** When the lease ends, by {@link #clock}. */
    private volatile long leaseEndsNs = Long.MIN_VALUE;
    /** Sends a frame to the store; null while there is no connection. */
    private Consumer<Frame> store;

    /** @param inbox the core's inbox */
    public LeaseHolder(CoordinatorConfig config, long incarnation, Clock clock, Predicate<Input> inbox, Meters meters) {
        this.config = config;
        this.clock = clock;
        this.inbox = inbox;
        this.meters = meters;
        meters.gauge("lease.voices", this, LeaseHolder::heldSlices);
        this.terms = new AtomicLongArray(config.slices);
        this.lease = new Lease(
                new Lease.Settings(
                        config.number, config.slices, config.leaseNs, Math.max(8, config.slices / TICKS_PER_LEASE)),
                incarnation);
    }

    /** Starts the timer. */
    public void start() {
        clock.after(config.leaseNs / TICKS_PER_LEASE, this::tick);
    }

    private void tick() {
        synchronized (this) {
            carryOut(lease.tick(clock.now()));
        }
        start();
    }

    /** Handles a new connection to the store, which takes frames, or its end (null). */
    public synchronized void store(Consumer<Frame> up) {
        store = up;
        awaitingTable.clear();
        if (up == null) {
            carryOut(lease.disconnected(clock.now()));
        } else {
            carryOut(lease.connected(clock.now()));
            up.accept(new Frame.Watch());
            // Request the tables again that were requested over the previous connection.
            for (int slice = 0; slice < config.slices; slice++) {
                if (lease.owns(slice) && terms.get(slice) == 0) {
                    requestTable(slice, lease.term(slice));
                }
            }
        }
    }

    /** Handles a frame from the store. */
    public synchronized void frame(Frame frame) {
        long now = clock.now();
        if (frame instanceof Frame.MemberRecord f) {
            carryOut(lease.memberRecord(
                    now,
                    f.revision(),
                    new Member(
                            f.number(),
                            f.incarnation(),
                            f.heartbeat(),
                            f.settled(),
                            f.leaving(),
                            f.flaps(),
                            f.dead())));
        } else if (frame instanceof Frame.SliceOwnerRecord f && f.slice() >= 0 && f.slice() < config.slices) {
            carryOut(lease.sliceOwnerRecord(
                    now, f.slice(), f.revision(), new SliceOwner(f.owner(), f.incarnation(), f.term())));
        } else if (frame instanceof Frame.Written f) {
            meters.count(f.applied() ? "lease.writes" : "lease.writes.lost");
            carryOut(lease.writeAnswered(now, f.id(), f.applied()));
        } else if (frame instanceof Frame.Synced) {
            carryOut(lease.synced(now));
        } else if (frame instanceof Frame.Stale f) {
            stale(f.slice(), f.term());
        } else if (frame instanceof Frame.Stored f) {
            Long term = awaitingTable.remove(f.slice());
            if (term != null && lease.owns(f.slice())) {
                terms.set(f.slice(), term);
                inbox.test(new Input.FromStore(new Frame.Charge(f.slice(), true)));
                inbox.test(new Input.FromStore(f));
            }
        }
    }

    /** Called when a proxy or the store has observed a later term of a slice. */
    public synchronized void stale(int slice, long term) {
        meters.count("lease.told_stale");
        if (slice >= 0 && slice < config.slices) {
            carryOut(lease.laterTermSeen(clock.now(), slice, term));
        }
    }

    /** Starts to hand all slices on to other coordinators. */
    public synchronized void leave() {
        carryOut(lease.leave(clock.now()));
    }

    /** Hands all slices on, and waits up to the given time while there are other members to take them. */
    void leaveWithin(long ns) {
        leave();
        long deadlineNs = clock.now() + ns;
        try {
            while (clock.now() < deadlineNs && otherMembersAlive() && heldSlices() > 0) {
                Thread.sleep(LEAVE_POLL_MS);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized boolean otherMembersAlive() {
        return lease.liveMembers(clock.now()).size() > 1;
    }

    private synchronized int heldSlices() {
        return lease.heldSlices();
    }

    /** Carries out the steps that the lease state machine returned. */
    private void carryOut(List<Step> steps) {
        for (Step step : steps) {
            if (step instanceof Step.WriteMember s) {
                Member m = s.value();
                send(new Frame.MemberRecord(
                        s.id(),
                        s.expected(),
                        m.number(),
                        m.incarnation(),
                        m.heartbeat(),
                        m.settled(),
                        m.leaving(),
                        m.dead(),
                        m.flaps()));
                if (m.dead()) {
                    LOG.atWarn().addKeyValue("member", m.number()).log("lease of a member expired; closing its record");
                }
            } else if (step instanceof Step.WriteSliceOwner s) {
                send(new Frame.SliceOwnerRecord(
                        s.id(),
                        s.expected(),
                        s.slice(),
                        s.value().owner(),
                        s.value().incarnation(),
                        s.value().term()));
            } else if (step instanceof Step.OwnershipBegins s) {
                requestTable(s.slice(), s.term());
            } else if (step instanceof Step.OwnershipEnds s) {
                awaitingTable.remove(s.slice());
                meters.countCause("lease.ended", s.why());
                if (terms.getAndSet(s.slice(), 0) != 0) {
                    inbox.test(new Input.FromStore(new Frame.Charge(s.slice(), false)));
                }
            } else if (step instanceof Step.AllHandedOver) {
                LOG.atInfo().log("all slices are handed on");
            }
        }
        leaseEndsNs = lease.leaseEndNs();
    }

    /** Reads the table of a slice whose lease began. */
    private void requestTable(int slice, long term) {
        meters.count("lease.begun");
        awaitingTable.put(slice, term);
        send(new Frame.ReadSlice(slice));
    }

    private void send(Frame frame) {
        if (store != null) {
            store.accept(frame);
        }
    }

    @Override
    public boolean mayWrite(long now) {
        return clock.now() < leaseEndsNs;
    }

    @Override
    public long term(int slice) {
        return slice < 0 || slice >= terms.length() ? 0 : terms.get(slice);
    }

    /** Returns the lines of the status answer: members as seen here, slices held, the range of their terms. */
    synchronized Map<String, Object> state() {
        Map<String, Object> state = new TreeMap<>();
        List<String> members = new ArrayList<>();
        for (Member m : lease.liveMembers(clock.now())) {
            members.add(m.number() + (m.leaving() ? " leaving" : m.settled() ? "" : " not settled"));
        }
        long minTerm = Long.MAX_VALUE;
        long maxTerm = 0;
        int held = 0;
        for (int slice = 0; slice < config.slices; slice++) {
            long term = terms.get(slice);
            if (term > 0) {
                held++;
                minTerm = Math.min(minTerm, term);
                maxTerm = Math.max(maxTerm, term);
            }
        }
        state.put("members", members);
        state.put("voices", held);
        state.put("terms", held == 0 ? "none" : minTerm + " to " + maxTerm);
        state.put("lease", Math.max(0, (leaseEndsNs - clock.now()) / 1_000_000) + " ms left");
        return state;
    }
}
