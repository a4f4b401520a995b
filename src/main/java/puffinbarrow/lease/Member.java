package puffinbarrow.lease;

/**
 * A coordinator's record in the store. Each heartbeat rewrites it, which renews the lease.
 *
 * @param number the member number
 * @param incarnation changes with each restart of the process and each expiry of its lease
 * @param heartbeat the number of the heartbeat within this incarnation, from 1
 * @param settled whether the member has been up long enough to be assigned slices
 * @param leaving whether the member is handing over its slices before it ends
 * @param flaps the number of short incarnations in a row; each doubles the wait before the member counts as settled
 * @param dead whether another member found the lease expired and closed the record; this incarnation can send no
 *     further heartbeat
 */
public record Member(
        int number, long incarnation, long heartbeat, boolean settled, boolean leaving, int flaps, boolean dead) {
    Member closed() {
        return new Member(number, incarnation, heartbeat, settled, leaving, flaps, true);
    }
}
