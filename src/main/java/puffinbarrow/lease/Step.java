package puffinbarrow.lease;

/** What the lease core asks of its surroundings, in order. */
public sealed interface Step {
    /**
     * Writes the record if its revision is still the one expected (0: it does not exist). The same call may be sent
     * again when no answer came: it takes effect once at most.
     */
    sealed interface Write extends Step {
        long id();

        long expected();
    }

    record WriteMember(long id, long expected, Member value) implements Write {}

    record WriteVoice(long id, int slice, long expected, Voice value) implements Write {}

    /** Orders for the slice may be sent from now on, under this term. */
    record Begin(int slice, long term) implements Step {}

    /** None may any more. */
    record End(int slice, Why why) implements Step {}

    /** A leaving member holds nothing any more. */
    record Left() implements Step {}

    enum Why {
        LAPSED,
        HANDED_ON,
        TAKEN_BY_ANOTHER
    }
}
