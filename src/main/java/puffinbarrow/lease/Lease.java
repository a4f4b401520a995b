package puffinbarrow.lease;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Lease state machine of one coordinator. The coordinators divide the slices among themselves through a store with
 * compare-and-set. This class renews the coordinator's own lease, acquires slices that are assigned to it and have no
 * live owner, hands over slices that are now assigned to another member, and gives up ownership before any other member
 * can consider its lease expired. It does no I/O and reads no clock: the caller passes in the store's answers, ticks
 * and the member's local time in nanoseconds, and carries out the returned steps in order. Not thread-safe; the
 * coordinator calls it under a lock, {@link Simulation} from a single thread.
 *
 * <p>The holder counts its lease from the time it sent the heartbeat and shortens it by {@link #CLOCK_MARGIN}; all
 * other members count from the time they saw the heartbeat and lengthen it by the same margin. Clock rates may
 * therefore differ by up to the margin, and clock readings are never compared between members. A holder whose lease
 * expired continues under a new incarnation and must acquire its slices again by compare-and-set, so that it and a
 * member that has already decided to take them over cannot both succeed. A member that finds a lease expired first
 * closes the holder's record by compare-and-set. That write fails if there was a heartbeat that the member has not
 * seen, because its watch is late or it was paused itself; once it succeeds, no later heartbeat of that incarnation
 * can.
 */
public final class Lease {
    /**
     * Settings of one member.
     *
     * @param memberNumber this member's number, unique among the coordinators
     * @param slices the number of slices; they are numbered from 0
     * @param leaseNs the length of a lease
     * @param maxTransfersPerTick the most slices to acquire or hand over in one tick
     */
    public record Settings(int memberNumber, int slices, long leaseNs, int maxTransfersPerTick) {}

    /** Safety rules of the protocol. {@link Simulation} can disable them, to show that each is necessary. */
    enum Guard {
        CLOCK_MARGIN,
        NEW_INCARNATION_AFTER_EXPIRY,
        EXPECTED_REVISION,
        STOP_AT_EXPIRY,
        CLOSE_BEFORE_TAKEOVER
    }

    /** As a part of the lease: twice the 5% by which a clock may drift, since one may run fast and the other slow. */
    static final double CLOCK_MARGIN = 0.1;
    /** Up to three heartbeats may be lost or late before the lease expires. */
    private static final int HEARTBEATS_PER_LEASE = 4;
    /** An incarnation that ended before this many leases counts as a flap. */
    private static final int SHORT_INCARNATION_LEASES = 8;
    /** The wait before a member is assigned slices doubles with each flap, from one lease up to 32 leases. */
    private static final int MAX_FLAPS = 5;
    /** Slices are moved to restore balance only after the membership has not changed for this many leases. */
    private static final int STABLE_LEASES = 2;

    /** This member's relation to a slice. */
    enum State {
        IDLE,
        ACQUIRING,
        OWNER,
        HANDING_OVER
    }

    /** What happens to a slice. */
    private enum Input {
        ACQUIRE,
        HAND_OVER,
        WRITE_APPLIED,
        WRITE_NOT_APPLIED,
        RECORD_NAMES_SELF,
        RECORD_NAMES_OTHER,
        LEASE_EXPIRED
    }

    /** What a transition makes the member do. */
    private enum Effect {
        NOTHING,
        WRITE_SELF,
        WRITE_SUCCESSOR,
        BEGIN,
        END_EXPIRED,
        END_HANDED_OVER,
        END_TAKEN_BY_ANOTHER
    }

    private record Transition(State from, Input input, State to, Effect effect) {}

    /**
     * Transitions of a slice as this member sees it. RECORD_NAMES_SELF means that the store's record names this
     * incarnation as owner: after an applied write, after a write whose answer was lost, or because another member
     * handed the slice over. A pair of state and input that is not listed changes nothing.
     */
    private static final List<Transition> TRANSITIONS = List.of(
            new Transition(State.IDLE, Input.ACQUIRE, State.ACQUIRING, Effect.WRITE_SELF),
            new Transition(State.IDLE, Input.RECORD_NAMES_SELF, State.OWNER, Effect.BEGIN),
            new Transition(State.ACQUIRING, Input.WRITE_APPLIED, State.OWNER, Effect.BEGIN),
            new Transition(State.ACQUIRING, Input.RECORD_NAMES_SELF, State.OWNER, Effect.BEGIN),
            new Transition(State.ACQUIRING, Input.WRITE_NOT_APPLIED, State.IDLE, Effect.NOTHING),
            new Transition(State.ACQUIRING, Input.RECORD_NAMES_OTHER, State.IDLE, Effect.NOTHING),
            new Transition(State.ACQUIRING, Input.LEASE_EXPIRED, State.IDLE, Effect.NOTHING),
            // Ownership ends here before the successor can learn of it.
            new Transition(State.OWNER, Input.HAND_OVER, State.HANDING_OVER, Effect.WRITE_SUCCESSOR),
            new Transition(State.OWNER, Input.RECORD_NAMES_OTHER, State.IDLE, Effect.END_TAKEN_BY_ANOTHER),
            new Transition(State.OWNER, Input.LEASE_EXPIRED, State.IDLE, Effect.END_EXPIRED),
            new Transition(State.HANDING_OVER, Input.WRITE_APPLIED, State.IDLE, Effect.NOTHING),
            new Transition(State.HANDING_OVER, Input.RECORD_NAMES_OTHER, State.IDLE, Effect.NOTHING),
            // The hand-over failed: the record still names this incarnation, and applyRecord makes it the owner again.
            new Transition(State.HANDING_OVER, Input.WRITE_NOT_APPLIED, State.IDLE, Effect.NOTHING),
            new Transition(State.HANDING_OVER, Input.LEASE_EXPIRED, State.IDLE, Effect.NOTHING));

    /** The last known record of a slice, and this member's write to it. */
    private static final class SliceView {
        State state = State.IDLE;
        SliceOwner record = SliceOwner.NONE;
        long revision;
        /** Id of the unanswered write, or 0. */
        long pendingWrite;

        long expectedRevision;
        long sentAtNs;
        SliceOwner requested;
    }

    /** The last known record of a member, this one included. */
    private static final class MemberView {
        Member member;
        long revision;
        /** When the latest heartbeat was seen, by this member's clock. */
        long heartbeatSeenAtNs;

        /** Id of the write that closes the record, or 0. */
        long closeWrite;

        long closeSentAtNs;
        /**
         * Replaced incarnations, with the time each was seen replaced: they may act as owner until their lease expires.
         */
        final TreeMap<Long, Long> previousIncarnations = new TreeMap<>();
    }

    private final Settings settings;
    private final Set<Guard> disabledGuards;
    private final SliceView[] slices;
    private final TreeMap<Integer, MemberView> members = new TreeMap<>();
    private final List<Step> pendingSteps = new ArrayList<>();
    private final Map<Long, Integer> sliceByWrite = new TreeMap<>();
    private long nextWriteId = 1;
    private boolean connected;
    private boolean synced;
    /** When the store's records were last read completely. */
    private long syncedAtNs;

    private long incarnation;
    /** The number of the last applied heartbeat of this incarnation. */
    private long heartbeat;

    private boolean leaving;
    private int flaps;
    private long incarnationStartNs;
    private long leaseEndNs = Long.MIN_VALUE;
    /** Id of the unanswered heartbeat write, or 0. */
    private long heartbeatWrite;

    /** The record that the latest heartbeat writes. */
    private Member heartbeatRecord;

    private long heartbeatSentAtNs;
    private long heartbeatRetryAtNs;
    private long heartbeatRevision;
    private long nextHeartbeatAtNs;
    private boolean leaseHeld;
    /** The member to which each slice is assigned, or -1. */
    private int[] assignment;

    /** Slices that may not match the assignment. The others, nearly all of them in steady state, are skipped. */
    private final BitSet slicesToReview = new BitSet();

    /** The members among which {@link #assignment} divides the slices, and since when. */
    private Set<Integer> assignedMembers = Set.of();

    private long assignedSinceNs;
    private boolean leftReported;
    /** Earlier incarnations of this process; they no longer act as owner. */
    private final Set<Long> ownPreviousIncarnations = new HashSet<>();

    /**
     * Creates the state machine; it does nothing until {@link #connected}.
     *
     * @param incarnation differs from every earlier incarnation under this member number
     */
    public Lease(Settings settings, long incarnation) {
        this(settings, incarnation, Set.of());
    }

    Lease(Settings settings, long incarnation, Set<Guard> disabledGuards) {
        this.settings = settings;
        this.incarnation = incarnation;
        this.disabledGuards = disabledGuards;
        this.slices = new SliceView[settings.slices];
        for (int i = 0; i < slices.length; i++) {
            slices[i] = new SliceView();
        }
        this.incarnationStartNs = Long.MIN_VALUE;
    }

    // ---- Inputs. Each returns the resulting steps, in order.

    /** The stream to the store is open; all records follow, then {@link #synced}. */
    public List<Step> connected(long now) {
        connected = true;
        synced = false;
        return takeSteps();
    }

    /** All records of the store have been passed in since {@link #connected}. */
    public List<Step> synced(long now) {
        synced = true;
        syncedAtNs = now;
        if (incarnationStartNs == Long.MIN_VALUE) {
            startFirstIncarnation(now);
        }
        // Unanswered writes may or may not have been applied: the records just read show which.
        heartbeatWrite = 0;
        sliceByWrite.clear();
        for (int i = 0; i < slices.length; i++) {
            if (slices[i].pendingWrite != 0) {
                slices[i].pendingWrite = 0;
                slicesToReview.set(i);
                transition(i, Input.WRITE_NOT_APPLIED, now);
            }
        }
        nextHeartbeatAtNs = now;
        return tick(now);
    }

    /** The stream to the store is closed: no write is known to be applied until it is open again. */
    public List<Step> disconnected(long now) {
        connected = false;
        synced = false;
        return tick(now);
    }

    /** A member's current record in the store, from the watch or as part of an answer to a write. */
    public List<Step> memberRecord(long now, long revision, Member member) {
        MemberView view = members.computeIfAbsent(member.number(), n -> new MemberView());
        if (revision <= view.revision) {
            return takeSteps();
        }
        boolean own = member.number() == settings.memberNumber;
        if (view.member != null && view.member.incarnation() != member.incarnation()) {
            // From now, not from the last heartbeat seen: later ones may have been missed while the stream was down.
            view.previousIncarnations.put(view.member.incarnation(), now);
        }
        // A record seen for the first time may be of any age: the member counts as live for one lease from now.
        view.heartbeatSeenAtNs = now;
        view.member = member;
        view.revision = revision;
        view.closeWrite = 0;
        if (own && heartbeatRecord != null && heartbeatWrite != 0 && member.equals(heartbeatRecord)) {
            heartbeatApplied(now);
        } else if (own && leaseHeld && (member.incarnation() != incarnation || member.dead())) {
            // Another member closed the record, or another process uses this number: both must not continue as owners.
            expireLease(now);
        } else if (own && !leaseHeld && member.incarnation() == incarnation && member.dead()) {
            startNewIncarnation(now);
        }
        return tick(now);
    }

    /** A slice's current owner record in the store. */
    public List<Step> sliceOwnerRecord(long now, int slice, long revision, SliceOwner record) {
        SliceView view = slices[slice];
        if (revision <= view.revision) {
            return takeSteps();
        }
        view.revision = revision;
        view.record = record;
        applyRecord(slice, now);
        return tick(now);
    }

    /**
     * The answer to a write. The resulting record is passed to {@link #memberRecord} or {@link #sliceOwnerRecord}
     * before.
     */
    public List<Step> writeAnswered(long now, long id, boolean applied) {
        if (id == heartbeatWrite) {
            if (applied) {
                heartbeatApplied(now);
            } else {
                // The record passed in before shows why; the next attempt is based on it.
                heartbeatWrite = 0;
                nextHeartbeatAtNs = now + settings.leaseNs / (2 * HEARTBEATS_PER_LEASE);
            }
            return tick(now);
        }
        Integer slice = sliceByWrite.remove(id);
        if (slice != null && slices[slice].pendingWrite == id) {
            slices[slice].pendingWrite = 0;
            slicesToReview.set(slice);
            transition(slice, applied ? Input.WRITE_APPLIED : Input.WRITE_NOT_APPLIED, now);
        }
        return tick(now);
    }

    /** A proxy, the store or a peer has seen a later term of the slice than the one this member holds. */
    public List<Step> laterTermSeen(long now, int slice, long term) {
        if (slices[slice].record.term() < term && slices[slice].state == State.OWNER) {
            transition(slice, Input.RECORD_NAMES_OTHER, now);
        }
        return takeSteps();
    }

    /** Starts to hand over all slices; {@link Step.AllHandedOver} follows once none is held. */
    public List<Step> leave(long now) {
        leaving = true;
        nextHeartbeatAtNs = now;
        return tick(now);
    }

    /** Sends due heartbeats and retries, expires the lease, and moves slices towards the assignment. */
    public List<Step> tick(long now) {
        if (leaseHeld && now >= leaseEndNs && !disabledGuards.contains(Guard.STOP_AT_EXPIRY)) {
            expireLease(now);
        }
        if (connected && synced) {
            sendHeartbeatIfDue(now);
            if (leaseHeld && now < leaseEndNs) {
                rebalance(now);
            }
        }
        if (leaving && !leftReported && heldSlices() == 0) {
            leftReported = true;
            pendingSteps.add(new Step.AllHandedOver());
        }
        return takeSteps();
    }

    private List<Step> takeSteps() {
        List<Step> steps = List.copyOf(pendingSteps);
        pendingSteps.clear();
        return steps;
    }

    // ---- Queries.

    /** Orders may be sent before this time, by this member's clock; {@code Long.MIN_VALUE} without a lease. */
    public long leaseEndNs() {
        return leaseHeld ? leaseEndNs : Long.MIN_VALUE;
    }

    /** Whether this member owns the slice; the lease end must be checked separately. */
    public boolean owns(int slice) {
        return slices[slice].state == State.OWNER;
    }

    /** The slice's latest known term, whoever owns it. */
    public long term(int slice) {
        return slices[slice].record.term();
    }

    /** Slices that this member owns or is handing over. */
    public int heldSlices() {
        int held = 0;
        for (SliceView slice : slices) {
            held += slice.state == State.OWNER || slice.state == State.HANDING_OVER ? 1 : 0;
        }
        return held;
    }

    public long incarnation() {
        return incarnation;
    }

    /** The members whose lease this member considers valid, itself included. */
    public Collection<Member> liveMembers(long now) {
        return members.values().stream()
                .filter(view -> isLive(view, now))
                .map(view -> view.member)
                .toList();
    }

    // ---- The member's own lease.

    private void startFirstIncarnation(long now) {
        incarnationStartNs = now;
        MemberView previous = members.get(settings.memberNumber);
        if (previous != null && previous.member != null) {
            // If the previous incarnation was short, this one waits longer before it is assigned slices.
            boolean shortLived = previous.member.heartbeat() < (long) SHORT_INCARNATION_LEASES * HEARTBEATS_PER_LEASE;
            flaps = shortLived ? Math.min(MAX_FLAPS, previous.member.flaps() + 1) : 0;
        }
    }

    private boolean hasSettled(long now) {
        // One lease, so that every other live member has been seen; longer after short incarnations.
        return now - incarnationStartNs >= settings.leaseNs << flaps;
    }

    private void sendHeartbeatIfDue(long now) {
        MemberView own = members.get(settings.memberNumber);
        long revision = own == null ? 0 : own.revision;
        if (heartbeatWrite != 0) {
            if (now >= heartbeatRetryAtNs) {
                // No answer: the same write is sent again; the store applies it at most once.
                heartbeatRetryAtNs = now + settings.leaseNs / HEARTBEATS_PER_LEASE;
                pendingSteps.add(new Step.WriteMember(heartbeatWrite, heartbeatRevision, heartbeatRecord));
            }
            return;
        }
        if (now < nextHeartbeatAtNs) {
            return;
        }
        if (own != null
                && own.member.incarnation() != incarnation
                && !leaseHeld
                && own.previousIncarnations.containsKey(incarnation)) {
            // A process that started later holds this member number.
            startNewIncarnation(now);
        }
        heartbeatRecord =
                new Member(settings.memberNumber, incarnation, heartbeat + 1, hasSettled(now), leaving, flaps, false);
        heartbeatWrite = nextWriteId++;
        heartbeatRevision = revision;
        heartbeatSentAtNs = now;
        heartbeatRetryAtNs = now + settings.leaseNs / HEARTBEATS_PER_LEASE;
        pendingSteps.add(new Step.WriteMember(heartbeatWrite, heartbeatRevision, heartbeatRecord));
    }

    private void heartbeatApplied(long now) {
        heartbeatWrite = 0;
        heartbeat = heartbeatRecord.heartbeat();
        nextHeartbeatAtNs = heartbeatSentAtNs + settings.leaseNs / HEARTBEATS_PER_LEASE;
        // Counted from the first sending: no other member can have seen the heartbeat earlier.
        long endNs = heartbeatSentAtNs
                + (long) (settings.leaseNs
                        * (disabledGuards.contains(Guard.CLOCK_MARGIN) ? 1 + CLOCK_MARGIN : 1 - CLOCK_MARGIN));
        if (now < endNs) {
            leaseHeld = true;
            leaseEndNs = endNs;
            for (int i = 0; i < slices.length; i++) {
                applyRecord(i, now);
            }
        }
    }

    private void expireLease(long now) {
        leaseHeld = false;
        for (int i = 0; i < slices.length; i++) {
            slices[i].pendingWrite = 0;
            slicesToReview.set(i);
            transition(i, Input.LEASE_EXPIRED, now);
        }
        sliceByWrite.clear();
        heartbeatWrite = 0;
        nextHeartbeatAtNs = now;
        if (!disabledGuards.contains(Guard.NEW_INCARNATION_AFTER_EXPIRY)) {
            startNewIncarnation(now);
        }
    }

    private void startNewIncarnation(long now) {
        ownPreviousIncarnations.add(incarnation);
        incarnation++;
        heartbeat = 0;
        incarnationStartNs = now;
    }

    // ---- Slices.

    private boolean namesSelf(SliceOwner record) {
        return record.owner() == settings.memberNumber && record.incarnation() == incarnation;
    }

    /** Turns the slice's record into an input of the transition table. */
    private void applyRecord(int slice, long now) {
        SliceView view = slices[slice];
        if (!namesSelf(view.record)) {
            transition(slice, Input.RECORD_NAMES_OTHER, now);
        } else if (leaseHeld && now < leaseEndNs && view.state != State.HANDING_OVER) {
            transition(slice, Input.RECORD_NAMES_SELF, now);
        }
    }

    private boolean isLive(MemberView view, long now) {
        return view.member != null && !view.member.dead() && now - view.heartbeatSeenAtNs < observedLeaseNs();
    }

    /** The length of another member's lease, counted from when its heartbeat was seen. */
    private long observedLeaseNs() {
        return (long) (settings.leaseNs
                * (disabledGuards.contains(Guard.CLOCK_MARGIN) ? 1 - CLOCK_MARGIN : 1 + CLOCK_MARGIN));
    }

    /** Whether the owner that the record names may still act as owner, by what this member has seen. */
    private boolean ownerMayBeActive(SliceOwner record, long now) {
        if (record.owner() < 0) {
            return false;
        }
        if (ownPreviousIncarnations.contains(record.incarnation())) {
            return false;
        }
        MemberView view = members.get(record.owner());
        if (view == null || view.member == null) {
            return now - syncedAtNs < observedLeaseNs();
        }
        if (view.member.incarnation() == record.incarnation()) {
            return disabledGuards.contains(Guard.CLOSE_BEFORE_TAKEOVER) ? isLive(view, now) : !view.member.dead();
        }
        Long replacedAtNs = view.previousIncarnations.get(record.incarnation());
        return now - (replacedAtNs == null ? syncedAtNs : replacedAtNs) < observedLeaseNs();
    }

    /** Moves slices that do not match the assignment, at most {@code maxTransfersPerTick}. */
    private void rebalance(long now) {
        Set<Integer> assignable = new TreeSet<>();
        for (MemberView view : members.values()) {
            if (isLive(view, now) && view.member.settled() && !view.member.leaving()) {
                assignable.add(view.member.number());
            }
        }
        closeExpiredMembers(now);
        // Until a member has settled nothing is acquired: a cold start waits one lease and then assigns once.
        if (assignment == null || !assignable.equals(assignedMembers)) {
            assignedMembers = assignable;
            assignment = SliceAssignment.of(settings.slices, assignedMembers);
            slicesToReview.set(0, slices.length);
            assignedSinceNs = now;
        }
        int transfersLeft = settings.maxTransfersPerTick - sliceByWrite.size();
        // Slices that never had an owner wait for members started together with this one, to avoid handing them over.
        boolean startupOver = now - assignedSinceNs > settings.leaseNs / 2;
        boolean membershipStable = leaving || now - assignedSinceNs > STABLE_LEASES * settings.leaseNs;
        for (int i = slicesToReview.nextSetBit(0); i >= 0 && transfersLeft > 0; i = slicesToReview.nextSetBit(i + 1)) {
            SliceView view = slices[i];
            boolean inPlace = view.state != State.IDLE || assignment[i] != settings.memberNumber;
            inPlace &= view.state != State.OWNER || assignment[i] < 0 || assignment[i] == settings.memberNumber;
            if (view.pendingWrite == 0 && inPlace) {
                slicesToReview.clear(i);
            } else if (view.pendingWrite != 0 && now - view.sentAtNs > settings.leaseNs / HEARTBEATS_PER_LEASE) {
                // No answer: the same write is sent again; the store applies it at most once.
                view.sentAtNs = now;
                pendingSteps.add(new Step.WriteSliceOwner(view.pendingWrite, i, view.expectedRevision, view.requested));
                transfersLeft--;
            } else if (view.state == State.IDLE
                    && view.pendingWrite == 0
                    && assignment[i] == settings.memberNumber
                    && !leaving
                    && (startupOver || view.record.owner() >= 0)
                    && !ownerMayBeActive(view.record, now)) {
                transition(i, Input.ACQUIRE, now);
                transfersLeft--;
            } else if (view.state == State.OWNER
                    && assignment[i] >= 0
                    && assignment[i] != settings.memberNumber
                    && membershipStable) {
                transition(i, Input.HAND_OVER, now);
                transfersLeft--;
            }
        }
    }

    /** Closes the records of members whose lease has expired, so that their slices can be taken over. */
    private void closeExpiredMembers(long now) {
        for (MemberView view : members.values()) {
            if (view.member.number() == settings.memberNumber || view.member.dead() || isLive(view, now)) {
                continue;
            }
            if (view.closeWrite == 0) {
                view.closeWrite = nextWriteId++;
                view.closeSentAtNs = now - settings.leaseNs;
            }
            if (now - view.closeSentAtNs > settings.leaseNs / HEARTBEATS_PER_LEASE) {
                view.closeSentAtNs = now;
                pendingSteps.add(new Step.WriteMember(view.closeWrite, view.revision, view.member.closed()));
            }
        }
    }

    /** Applies an input to a slice as listed in {@link #TRANSITIONS}. */
    private void transition(int slice, Input input, long now) {
        SliceView view = slices[slice];
        for (Transition transition : TRANSITIONS) {
            if (transition.from == view.state && transition.input == input) {
                slicesToReview.set(slice);
                view.state = transition.to;
                if (view.pendingWrite != 0 && (transition.to == State.IDLE || transition.to == State.OWNER)) {
                    // The write is settled, by its answer or by the record itself.
                    sliceByWrite.remove(view.pendingWrite);
                    view.pendingWrite = 0;
                }
                perform(slice, transition.effect, now);
                if (transition.from == State.HANDING_OVER && input == Input.WRITE_NOT_APPLIED) {
                    applyRecord(slice, now);
                }
                return;
            }
        }
    }

    private void perform(int slice, Effect effect, long now) {
        SliceView view = slices[slice];
        switch (effect) {
            case WRITE_SELF -> writeOwner(
                    slice, new SliceOwner(settings.memberNumber, incarnation, view.record.term() + 1), now);
            case WRITE_SUCCESSOR -> {
                pendingSteps.add(new Step.OwnershipEnds(slice, Step.Why.HANDED_ON));
                Member successor = members.get(assignment[slice]).member;
                writeOwner(
                        slice,
                        new SliceOwner(successor.number(), successor.incarnation(), view.record.term() + 1),
                        now);
            }
            case BEGIN -> pendingSteps.add(new Step.OwnershipBegins(slice, view.record.term()));
            case END_EXPIRED -> pendingSteps.add(new Step.OwnershipEnds(slice, Step.Why.LAPSED));
            case END_TAKEN_BY_ANOTHER -> pendingSteps.add(new Step.OwnershipEnds(slice, Step.Why.TAKEN_BY_ANOTHER));
            default -> {}
        }
    }

    private void writeOwner(int slice, SliceOwner requested, long now) {
        SliceView view = slices[slice];
        view.requested = requested;
        view.pendingWrite = nextWriteId++;
        view.expectedRevision = disabledGuards.contains(Guard.EXPECTED_REVISION) ? -1 : view.revision;
        view.sentAtNs = now;
        sliceByWrite.put(view.pendingWrite, slice);
        pendingSteps.add(new Step.WriteSliceOwner(view.pendingWrite, slice, view.expectedRevision, requested));
    }
}
