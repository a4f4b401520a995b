package puffinbarrow.lease;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * One coordinator's part in sharing the slices through a store with compare-and-set. It keeps its own lease alive,
 * takes slices that are its share and have no living voice, hands on what has become another's share, and stops
 * speaking before its lease can have run out by anybody's clock. No I/O and no clock: answers of the store and ticks
 * come in with this member's own time, steps go out.
 *
 * <p>A lease counts for its holder from when the beat was sent, less a margin, and for all others from when they saw the
 * beat, plus the margin; so clocks may differ by the margin in rate, and their readings never meet. A holder whose
 * lease ran out begins a new life with another incarnation: whatever the old one held must be taken anew by
 * compare-and-set, so that one who had already decided to take it and this one cannot both succeed. Who finds a lease run
 * out first closes the member's record by compare-and-set: had a beat come that it has not seen, because the watch is
 * late or it slept itself, that write fails; and once it holds, no later beat of that life can.
 */
public final class Lease {
    /** @param ns a lease; @param takesPerTick slices taken or handed on in one tick at most */
    public record Settings(int number, int slices, long ns, int takesPerTick) {}

    /** Parts of the protocol that a check may leave out, to show that it is they that hold it. */
    enum Guard {
        MARGIN,
        NEW_LIFE_AFTER_LAPSE,
        EXPECTED_REVISION,
        STOPS_WHEN_LAPSED,
        CLOSED_FIRST
    }

    /** Twice the 5% by which clocks may drift: one clock may run fast while the other runs slow. */
    static final double MARGIN = 0.1;
    /** Beats in a lease: three may be lost or late before it runs out. */
    private static final int BEATS = 4;
    /** A life shorter than so many leases was a flap. */
    private static final int SHORT_LIFE = 8;
    /** The wait before charges doubles with each flap, up to 32 leases. */
    private static final int MOST_FLAPS = 5;
    /** Balance is worth a hand-over only once members have not changed for so many leases. */
    private static final int CALM = 2;

    enum State {
        IDLE,
        TAKING,
        SPEAKING,
        GIVING
    }

    private enum Input {
        TAKE,
        GIVE,
        WON,
        LOST,
        SEEN_MINE,
        SEEN_OTHER,
        LAPSE
    }

    private enum Effect {
        NOTHING,
        WRITE_MINE,
        WRITE_OTHERS,
        BEGIN,
        END_LAPSED,
        END_HANDED,
        END_TAKEN
    }

    private record Row(State in, Input on, State to, Effect effect) {}

    /**
     * A slice in this member's eyes. SEEN_MINE is the store's record naming this life: after a won write, after a write
     * whose answer was lost, or because another handed it on. Pairs that are not listed change nothing.
     */
    private static final List<Row> TABLE = List.of(
            new Row(State.IDLE, Input.TAKE, State.TAKING, Effect.WRITE_MINE),
            new Row(State.IDLE, Input.SEEN_MINE, State.SPEAKING, Effect.BEGIN),
            new Row(State.TAKING, Input.WON, State.SPEAKING, Effect.BEGIN),
            new Row(State.TAKING, Input.SEEN_MINE, State.SPEAKING, Effect.BEGIN),
            new Row(State.TAKING, Input.LOST, State.IDLE, Effect.NOTHING),
            new Row(State.TAKING, Input.SEEN_OTHER, State.IDLE, Effect.NOTHING),
            new Row(State.TAKING, Input.LAPSE, State.IDLE, Effect.NOTHING),
            // It falls silent before the other can have been told.
            new Row(State.SPEAKING, Input.GIVE, State.GIVING, Effect.WRITE_OTHERS),
            new Row(State.SPEAKING, Input.SEEN_OTHER, State.IDLE, Effect.END_TAKEN),
            new Row(State.SPEAKING, Input.LAPSE, State.IDLE, Effect.END_LAPSED),
            new Row(State.GIVING, Input.WON, State.IDLE, Effect.NOTHING),
            new Row(State.GIVING, Input.SEEN_OTHER, State.IDLE, Effect.NOTHING),
            // Not given after all: the record still names this life, so it goes on.
            new Row(State.GIVING, Input.LOST, State.IDLE, Effect.NOTHING),
            new Row(State.GIVING, Input.LAPSE, State.IDLE, Effect.NOTHING));

    private static final class Slice {
        State state = State.IDLE;
        Voice voice = Voice.NONE;
        long revision;
        /** The write on its way, or 0. */
        long call;

        long expected, sentAt;
        Voice asked;
    }

    /** Another member, or this one as the store has it. */
    private static final class Seen {
        Member member;
        long revision;
        /** When its latest beat was seen, by this member's clock. */
        long beatAt;

        long markCall, markedAt;
        /** Lives that another replaced, and when that was seen: they may speak until their lease has run out. */
        final TreeMap<Long, Long> former = new TreeMap<>();
    }

    private final Settings settings;
    private final Set<Guard> without;
    private final Slice[] slices;
    private final TreeMap<Integer, Seen> members = new TreeMap<>();
    private final List<Step> out = new ArrayList<>();
    private final Map<Long, Integer> calls = new TreeMap<>();
    private long nextCall = 1;
    private boolean connected, synced;
    private long syncedAt;
    private long incarnation;
    private long beat;
    private boolean leaving;
    private int flaps;
    private long bornAt;
    private long speakUntil = Long.MIN_VALUE;
    /** The beat on its way: its call, when it was first sent and last sent. */
    private long beatCall;

    private Member beatAsked;
    private long beatSentAt, beatRetryAt, beatRevision;
    private long nextBeatAt;
    private boolean standing;
    private int[] shares;
    /** Slices that may be out of place: a look leaves out all others, which are nearly all in a calm fleet. */
    private final BitSet touched = new BitSet();

    private Set<Integer> sharers = Set.of();
    private long sharesSince;
    private boolean saidLeft;
    /** Former lives of this very process, which are silent. */
    private final Set<Long> ownLives = new java.util.HashSet<>();

    /** @param incarnation differs from that of any earlier life of this number */
    public Lease(Settings settings, long incarnation) {
        this(settings, incarnation, Set.of());
    }

    Lease(Settings settings, long incarnation, Set<Guard> without) {
        this.settings = settings;
        this.incarnation = incarnation;
        this.without = without;
        this.slices = new Slice[settings.slices];
        for (int i = 0; i < slices.length; i++) {
            slices[i] = new Slice();
        }
        this.bornAt = Long.MIN_VALUE;
    }

    // ---- What comes in. Each answers with steps, in order.

    /** The store's stream stands; all records follow, then {@link #synced}. */
    public List<Step> connected(long now) {
        connected = true;
        synced = false;
        return steps();
    }

    public List<Step> synced(long now) {
        synced = true;
        syncedAt = now;
        if (bornAt == Long.MIN_VALUE) {
            born(now);
        }
        // Whatever was on its way may or may not have taken effect: the records just read tell.
        beatCall = 0;
        calls.clear();
        for (int i = 0; i < slices.length; i++) {
            if (slices[i].call != 0) {
                slices[i].call = 0;
                touched.set(i);
                act(i, Input.LOST, now);
            }
        }
        nextBeatAt = now;
        return tick(now);
    }

    /** The stream is gone: nothing is known to be written until it stands again. */
    public List<Step> disconnected(long now) {
        connected = false;
        synced = false;
        return tick(now);
    }

    /** A member's record as the store has it now, by watch or as an answer. */
    public List<Step> member(long now, long revision, Member member) {
        Seen seen = members.computeIfAbsent(member.number(), n -> new Seen());
        if (revision <= seen.revision) {
            return steps();
        }
        boolean mine = member.number() == settings.number;
        if (seen.member != null && seen.member.incarnation() != member.incarnation()) {
            // From now, not from its last beat: later ones may have been passed over while the stream was down.
            seen.former.put(seen.member.incarnation(), now);
        }
        // A record met for the first time may be of any age: it is trusted for a lease from now.
        seen.beatAt = now;
        seen.member = member;
        seen.revision = revision;
        seen.markCall = 0;
        if (mine && beatAsked != null && beatCall != 0 && member.equals(beatAsked)) {
            beaten(now);
        } else if (mine && standing && (member.incarnation() != incarnation || member.dead())) {
            // Closed by another, or another process with this number: two must not both go on.
            lapse(now);
        } else if (mine && !standing && member.incarnation() == incarnation && member.dead()) {
            renewLife(now);
        }
        return tick(now);
    }

    /** A slice's record as the store has it now. */
    public List<Step> voice(long now, int slice, long revision, Voice voice) {
        Slice s = slices[slice];
        if (revision <= s.revision) {
            return steps();
        }
        s.revision = revision;
        s.voice = voice;
        judge(slice, now);
        return tick(now);
    }

    /** The answer to a write; the record as it is after it comes along by {@link #member} or {@link #voice} first. */
    public List<Step> answered(long now, long id, boolean applied) {
        if (id == beatCall) {
            if (applied) {
                beaten(now);
            } else {
                // The record that came along says why; it is tried again upon that.
                beatCall = 0;
                nextBeatAt = now + settings.ns / (2 * BEATS);
            }
            return tick(now);
        }
        Integer slice = calls.remove(id);
        if (slice != null && slices[slice].call == id) {
            slices[slice].call = 0;
            touched.set(slice);
            act(slice, applied ? Input.WON : Input.LOST, now);
        }
        return tick(now);
    }

    /** A proxy, the store or a peer has seen a later term than the one under which this member spoke. */
    public List<Step> toldStale(long now, int slice, long term) {
        if (slices[slice].voice.term() < term && slices[slice].state == State.SPEAKING) {
            act(slice, Input.SEEN_OTHER, now);
        }
        return steps();
    }

    /** Hands all on, and says {@link Step.Left} when nothing is held. */
    public List<Step> leave(long now) {
        leaving = true;
        nextBeatAt = now;
        return tick(now);
    }

    public List<Step> tick(long now) {
        if (standing && now >= speakUntil && !without.contains(Guard.STOPS_WHEN_LAPSED)) {
            lapse(now);
        }
        if (connected && synced) {
            beat(now);
            if (standing && now < speakUntil) {
                share(now);
            }
        }
        if (leaving && !saidLeft && held() == 0) {
            saidLeft = true;
            out.add(new Step.Left());
        }
        return steps();
    }

    private List<Step> steps() {
        List<Step> done = List.copyOf(out);
        out.clear();
        return done;
    }

    // ---- What can be asked.

    /** Orders may be sent until then, by this member's clock. */
    public long speakUntilNs() {
        return standing ? speakUntil : Long.MIN_VALUE;
    }

    public boolean speaks(int slice) {
        return slices[slice].state == State.SPEAKING;
    }

    public long term(int slice) {
        return slices[slice].voice.term();
    }

    public int held() {
        int held = 0;
        for (Slice slice : slices) {
            held += slice.state == State.SPEAKING || slice.state == State.GIVING ? 1 : 0;
        }
        return held;
    }

    public long incarnation() {
        return incarnation;
    }

    /** Members in this one's eyes, living ones only. */
    public Collection<Member> living(long now) {
        return members.values().stream()
                .filter(s -> alive(s, now))
                .map(s -> s.member)
                .toList();
    }

    // ---- This member's own lease.

    private void born(long now) {
        bornAt = now;
        Seen before = members.get(settings.number);
        if (before != null && before.member != null) {
            // A life that never settled, or settled and was gone again soon, makes this one wait longer.
            boolean brief = before.member.beat() < (long) SHORT_LIFE * BEATS;
            flaps = brief ? Math.min(MOST_FLAPS, before.member.flaps() + 1) : 0;
        }
    }

    private boolean settled(long now) {
        // One lease, so that whoever else lives has been seen; longer for one that came and went.
        return now - bornAt >= settings.ns << flaps;
    }

    private void beat(long now) {
        Seen own = members.get(settings.number);
        long revision = own == null ? 0 : own.revision;
        if (beatCall != 0) {
            if (now >= beatRetryAt) {
                // No answer: the same call again, which takes effect once at most.
                beatRetryAt = now + settings.ns / BEATS;
                out.add(new Step.WriteMember(beatCall, beatRevision, beatAsked));
            }
            return;
        }
        if (now < nextBeatAt) {
            return;
        }
        if (own != null
                && own.member.incarnation() != incarnation
                && !standing
                && own.former.containsKey(incarnation)) {
            // Its own number is held by a process that came later.
            renewLife(now);
        }
        beatAsked = new Member(settings.number, incarnation, beat + 1, settled(now), leaving, flaps, false);
        beatCall = nextCall++;
        beatRevision = revision;
        beatSentAt = now;
        beatRetryAt = now + settings.ns / BEATS;
        out.add(new Step.WriteMember(beatCall, beatRevision, beatAsked));
    }

    private void beaten(long now) {
        beatCall = 0;
        beat = beatAsked.beat();
        nextBeatAt = beatSentAt + settings.ns / BEATS;
        // From when it was first sent: it cannot have been seen by anybody earlier.
        long until = beatSentAt + (long) (settings.ns * (without.contains(Guard.MARGIN) ? 1 + MARGIN : 1 - MARGIN));
        if (now < until) {
            standing = true;
            speakUntil = until;
            for (int i = 0; i < slices.length; i++) {
                judge(i, now);
            }
        }
    }

    private void lapse(long now) {
        standing = false;
        for (int i = 0; i < slices.length; i++) {
            slices[i].call = 0;
            touched.set(i);
            act(i, Input.LAPSE, now);
        }
        calls.clear();
        beatCall = 0;
        nextBeatAt = now;
        if (!without.contains(Guard.NEW_LIFE_AFTER_LAPSE)) {
            renewLife(now);
        }
    }

    private void renewLife(long now) {
        ownLives.add(incarnation);
        incarnation++;
        beat = 0;
        bornAt = now;
    }

    // ---- Slices.

    private boolean mine(Voice voice) {
        return voice.owner() == settings.number && voice.incarnation() == incarnation;
    }

    /** What the record says, put to the table. */
    private void judge(int slice, long now) {
        Slice s = slices[slice];
        if (!mine(s.voice)) {
            act(slice, Input.SEEN_OTHER, now);
        } else if (standing && now < speakUntil && s.state != State.GIVING) {
            act(slice, Input.SEEN_MINE, now);
        }
    }

    private boolean alive(Seen seen, long now) {
        return seen.member != null && !seen.member.dead() && now - seen.beatAt < expiry();
    }

    private long expiry() {
        return (long) (settings.ns * (without.contains(Guard.MARGIN) ? 1 - MARGIN : 1 + MARGIN));
    }

    /** Whether whoever the record names may still speak, in this member's eyes. */
    private boolean spoken(Voice voice, long now) {
        if (voice.owner() < 0) {
            return false;
        }
        if (ownLives.contains(voice.incarnation())) {
            return false;
        }
        Seen seen = members.get(voice.owner());
        if (seen == null || seen.member == null) {
            return now - syncedAt < expiry();
        }
        if (seen.member.incarnation() == voice.incarnation()) {
            return without.contains(Guard.CLOSED_FIRST) ? alive(seen, now) : !seen.member.dead();
        }
        Long last = seen.former.get(voice.incarnation());
        return now - (last == null ? syncedAt : last) < expiry();
    }

    private void share(long now) {
        Set<Integer> settledOnes = new TreeSet<>();
        for (Seen seen : members.values()) {
            if (alive(seen, now) && seen.member.settled() && !seen.member.leaving()) {
                settledOnes.add(seen.member.number());
            }
        }
        close(now);
        // Where nobody has settled yet, nobody takes: a cold start waits one lease and then shares once.
        if (shares == null || !settledOnes.equals(sharers)) {
            sharers = settledOnes;
            shares = Shares.of(settings.slices, sharers);
            touched.set(0, slices.length);
            sharesSince = now;
        }
        int left = settings.takesPerTick - calls.size();
        // What was never held waits for those who started together with this one: it would only be handed on to them.
        boolean together = now - sharesSince > settings.ns / 2;
        boolean calm = leaving || now - sharesSince > CALM * settings.ns;
        for (int i = touched.nextSetBit(0); i >= 0 && left > 0; i = touched.nextSetBit(i + 1)) {
            Slice s = slices[i];
            boolean inPlace = s.state != State.IDLE || shares[i] != settings.number;
            inPlace &= s.state != State.SPEAKING || shares[i] < 0 || shares[i] == settings.number;
            if (s.call == 0 && inPlace) {
                touched.clear(i);
            } else if (s.call != 0 && now - s.sentAt > settings.ns / BEATS) {
                // No answer: the same call again, which takes effect once at most.
                s.sentAt = now;
                out.add(new Step.WriteVoice(s.call, i, s.expected, s.asked));
                left--;
            } else if (s.state == State.IDLE
                    && s.call == 0
                    && shares[i] == settings.number
                    && !leaving
                    && (together || s.voice.owner() >= 0)
                    && !spoken(s.voice, now)) {
                act(i, Input.TAKE, now);
                left--;
            } else if (s.state == State.SPEAKING && shares[i] >= 0 && shares[i] != settings.number && calm) {
                act(i, Input.GIVE, now);
                left--;
            }
        }
    }

    /** Closes the records of those whose lease has run out, so that what they held can be taken. */
    private void close(long now) {
        for (Seen seen : members.values()) {
            if (seen.member.number() == settings.number || seen.member.dead() || alive(seen, now)) {
                continue;
            }
            if (seen.markCall == 0) {
                seen.markCall = nextCall++;
                seen.markedAt = now - settings.ns;
            }
            if (now - seen.markedAt > settings.ns / BEATS) {
                seen.markedAt = now;
                out.add(new Step.WriteMember(seen.markCall, seen.revision, seen.member.closed()));
            }
        }
    }

    private void act(int slice, Input input, long now) {
        Slice s = slices[slice];
        for (Row row : TABLE) {
            if (row.in == s.state && row.on == input) {
                touched.set(slice);
                s.state = row.to;
                if (s.call != 0 && (row.to == State.IDLE || row.to == State.SPEAKING)) {
                    // Decided, by its answer or by the record itself.
                    calls.remove(s.call);
                    s.call = 0;
                }
                carry(slice, row.effect, now);
                if (row.in == State.GIVING && input == Input.LOST) {
                    judge(slice, now);
                }
                return;
            }
        }
    }

    private void carry(int slice, Effect effect, long now) {
        Slice s = slices[slice];
        switch (effect) {
            case WRITE_MINE -> write(slice, new Voice(settings.number, incarnation, s.voice.term() + 1), now);
            case WRITE_OTHERS -> {
                out.add(new Step.End(slice, Step.Why.HANDED_ON));
                Member to = members.get(shares[slice]).member;
                write(slice, new Voice(to.number(), to.incarnation(), s.voice.term() + 1), now);
            }
            case BEGIN -> out.add(new Step.Begin(slice, s.voice.term()));
            case END_LAPSED -> out.add(new Step.End(slice, Step.Why.LAPSED));
            case END_TAKEN -> out.add(new Step.End(slice, Step.Why.TAKEN_BY_ANOTHER));
            default -> {}
        }
    }

    private void write(int slice, Voice value, long now) {
        Slice s = slices[slice];
        s.asked = value;
        s.call = nextCall++;
        s.expected = without.contains(Guard.EXPECTED_REVISION) ? -1 : s.revision;
        s.sentAt = now;
        calls.put(s.call, slice);
        out.add(new Step.WriteVoice(s.call, slice, s.expected, value));
    }
}
